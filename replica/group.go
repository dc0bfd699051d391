package replica

import (
	"crypto/rand"
	"errors"
	"hash/fnv"
	"path/filepath"
	"strings"

	"github.com/rs/zerolog"

	"rudderfork.example/rudderfork/disk"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/quorum"
)

// FoundingIncarnation is the life that founding members get. Later lives are random.
const FoundingIncarnation = "1"

// lifeLength is how many random letters name a later life.
const lifeLength = 8

// MemberID returns the ID of one life of a replica.
func MemberID(name, life string) quorum.MemberID { return quorum.MemberID(name + "#" + life) }

// memberName is the name of which id is a life.
func memberName(id quorum.MemberID) string {
	name, _, _ := strings.Cut(string(id), "#")
	return name
}

// Seed makes a seed from a name, so that replicas draw different timeouts.
func Seed(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // it never fails
	return h.Sum64()
}

// OpenStore opens the data folder. An empty or corrupt one is formatted under a
// new member ID, so that the replica joins its group anew.
func OpenStore(dir, name, group string, log zerolog.Logger) (*disk.Store, error) {
	store, err := disk.Open(dir)
	if errors.Is(err, disk.ErrCorrupt) {
		to, aerr := disk.SetAside(dir, steady.Now())
		if aerr != nil {
			return nil, errors.Join(err, aerr)
		}
		log.Error().Err(err).Str("moved_to", filepath.Base(to)).Msg("data_folder_corrupt")
		err = disk.ErrEmpty
	}
	if !errors.Is(err, disk.ErrEmpty) {
		return store, err
	}
	id := disk.Identity{ID: MemberID(name, rand.Text()[:lifeLength]), Group: group}
	if err := disk.Format(dir, id); err != nil {
		return nil, err
	}
	log.Warn().Str("member", string(id.ID)).Msg("data_folder_empty_joining")
	return disk.Open(dir)
}
