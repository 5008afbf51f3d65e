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

// versionPollInterval is the time between two polls of the versions of
// the entries.
const versionPollInterval = 200 * time.Millisecond

// entryVersion is the configuration version and liveness of one entry in the
// status.
type entryVersion struct {
	VM       cawork.VMID      `json:"vm"`
	Version  cafollow.Version `json:"config_version"`
	Liveness string           `json:"liveness"`
}

// entryVersionList is the part of the status that lists the versions of all
// entries.
type entryVersionList struct {
	Entries []entryVersion `json:"entries"`
}

// awaitVersion waits until all entries run at least the given version, and
// returns the number of entries. On a timeout, the error has KindUnknown and
// names the entries that run an older version.
func awaitVersion(ctx context.Context, client caclient.Client, v cafollow.Version) (int, error) {
	for {
		entries, err := fetchEntryVersions(ctx, client)
		outdated := outdatedEntries(entries, v)
		if err == nil && len(entries) > 0 && len(outdated) == 0 {
			return len(entries), nil
		}
		select {
		case <-ctx.Done():
			return 0, rolloutError(v, outdated, err)
		case <-time.After(versionPollInterval):
		}
	}
}

func fetchEntryVersions(ctx context.Context, client caclient.Client) ([]entryVersion, error) {
	status, err := client.Status(ctx)
	if err != nil {
		return nil, err
	}
	var list entryVersionList
	if err := json.Unmarshal(status, &list); err != nil {
		return nil, cakind.Wrap(cakind.KindUnknown, err, "cannot decode the status")
	}
	return list.Entries, nil
}

func outdatedEntries(entries []entryVersion, v cafollow.Version) []string {
	var outdated []string
	for _, e := range entries {
		// An entry that drained stays listed for a while. An entry that is
		// considered dead counts, since it may be partitioned and still serve.
		if e.Liveness == "left" {
			continue
		}
		if e.Version < v {
			outdated = append(outdated, fmt.Sprintf("%s (%s, version %d)", e.VM, e.Liveness, e.Version))
		}
	}
	return outdated
}

func rolloutError(v cafollow.Version, outdated []string, err error) error {
	if len(outdated) > 0 {
		return cakind.New(cakind.KindUnknown, "version %d is accepted, but not seen in force at %s", v, strings.Join(outdated, ", "))
	}
	if err == nil {
		err = context.DeadlineExceeded
	}
	return cakind.Wrap(cakind.KindUnknown, err, "version %d is accepted, but the versions of the entries are not known", v)
}
