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

// FoundingIncarnation is the incarnation of the data folders of founding members. Later
// incarnations have random names.
const FoundingIncarnation = "1"

// incarnationLength is the number of random letters in the name of a later incarnation.
const incarnationLength = 8

// MemberID returns the ID of one incarnation of a replica. A replica whose data folder is formatted
// again is a new member.
func MemberID(name, inc string) quorum.MemberID { return quorum.MemberID(name + "#" + inc) }

// memberName returns the name of the replica that id is an incarnation of.
func memberName(id quorum.MemberID) string {
	name, _, _ := strings.Cut(string(id), "#")
	return name
}

// Seed derives a random seed from a name, so that the replicas of a group have different random
// election timeouts.
func Seed(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	return h.Sum64()
}

// OpenStore opens the data folder of a replica. An empty folder is formatted under a new member ID,
// so that the replica joins its group as a new member. A corrupt folder is renamed first, and is then
// replaced by an empty one.
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
	id := disk.Identity{ID: MemberID(name, rand.Text()[:incarnationLength]), Group: group}
	if err := disk.Format(dir, id); err != nil {
		return nil, err
	}
	log.Warn().Str("member", string(id.ID)).Msg("data_folder_empty_joining")
	return disk.Open(dir)
}
