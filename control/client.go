package control

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"rudderfork.example/rudderfork/replica"
)

// statusTimeout bounds a status request to another control process.
const statusTimeout = time.Second

// fetchStatus reads the replication status of the control process at addr.
func fetchStatus(ctx context.Context, addr string) (st replica.Status, err error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
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
