package cacommand

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cli/caclient"
	"celeryarch.example/celeryarch/internal/coord/cafollow"
)

// awaitPeriod is the time between two looks at the entries.
const awaitPeriod = 200 * time.Millisecond

// entryVersion is what the status of an entry tells of each entry.
type entryVersion struct {
	VM       cawork.VMID      `json:"vm"`
	Version  cafollow.Version `json:"config_version"`
	Liveness string           `json:"liveness"`
}

// versions is the part of the status of an entry that tells versions.
type versions struct {
	Entries []entryVersion `json:"entries"`
}

// awaitVersion waits until all entries have at least the version in force,
// and returns how many they are. An error of KindUnknown names the others.
func awaitVersion(ctx context.Context, client caclient.Client, v cafollow.Version) (int, error) {
	for {
		entries, err := entryVersions(ctx, client)
		behind := behindVersion(entries, v)
		if err == nil && len(entries) > 0 && len(behind) == 0 {
			return len(entries), nil
		}
		select {
		case <-ctx.Done():
			return 0, notEverywhere(v, behind, err)
		case <-time.After(awaitPeriod):
		}
	}
}

func entryVersions(ctx context.Context, client caclient.Client) ([]entryVersion, error) {
	status, err := client.Status(ctx)
	if err != nil {
		return nil, err
	}
	var v versions
	if err := json.Unmarshal(status, &v); err != nil {
		return nil, cakind.Wrap(cakind.KindUnknown, err, "the status cannot be read")
	}
	return v.Entries, nil
}

func behindVersion(entries []entryVersion, v cafollow.Version) []string {
	var behind []string
	for _, e := range entries {
		// An entry that drained stays listed for a while. One that is taken for
		// dead may be cut off and serve on, so that it counts.
		if e.Liveness == "left" {
			continue
		}
		if e.Version < v {
			behind = append(behind, fmt.Sprintf("%s (%s, version %d)", e.VM, e.Liveness, e.Version))
		}
	}
	return behind
}

func notEverywhere(v cafollow.Version, behind []string, err error) error {
	if len(behind) > 0 {
		return cakind.New(cakind.KindUnknown, "version %d is accepted, but not seen in force at %s", v, strings.Join(behind, ", "))
	}
	if err == nil {
		err = context.DeadlineExceeded
	}
	return cakind.Wrap(cakind.KindUnknown, err, "version %d is accepted, but the entries do not tell whether it is in force", v)
}
