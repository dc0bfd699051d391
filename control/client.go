package control

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"rudderfork.example/rudderfork/replica"
)

// askTimeout bounds a question to another control process.
const askTimeout = time.Second

// askStatus asks the control process at addr for its view of the group.
func askStatus(ctx context.Context, addr string) (st replica.Status, err error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/status", nil)
	if err != nil {
		return st, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return st, err
	}
	defer resp.Body.Close()
	return st, json.NewDecoder(resp.Body).Decode(&st)
}
