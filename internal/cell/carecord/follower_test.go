package carecord_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/cell/caleader"
	"celeryarch.example/celeryarch/internal/cell/carecord"
)

// pagedLog is a log of records with different keys in their order. It returns one
// record for each read and each page.
type pagedLog struct {
	keys []string
	// beforePage is called before each page is read.
	beforePage func()
}

func (l *pagedLog) Read(_ context.Context, from int64, _ time.Duration) ([]caleader.LogEntry, int64, error) {
	end := int64(len(l.keys))
	if from >= end {
		return nil, end, nil
	}
	return []caleader.LogEntry{{Key: l.keys[from], Offset: from}}, end, nil
}

func (l *pagedLog) Newest(_ context.Context, after string) (caleader.Page, error) {
	l.beforePage()
	page := caleader.Page{End: int64(len(l.keys))}
	for i, key := range l.keys {
		if key <= after {
			continue
		}
		if len(page.Entries) == 1 {
			page.Next = page.Entries[0].Key
			break
		}
		page.Entries = []caleader.LogEntry{{Key: key, Offset: int64(i)}}
	}
	return page, nil
}

// Records that are appended while a snapshot is read may be missing from it. They
// must be among the changes after it, also where one read returns only some of them.
func TestFollowerReadsRecordsAppendedDuringSnapshot(t *testing.T) {
	log := &pagedLog{keys: []string{"a", "b"}}
	pages := 0
	log.beforePage = func() {
		if pages++; pages == 2 {
			log.keys = append(log.keys, "c", "d", "e")
		}
	}
	f := carecord.NewFollower(log)
	poll := func() (keys []string, snapshot bool) {
		entries, snapshot, err := f.Poll(t.Context(), 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range entries {
			keys = append(keys, e.Key)
		}
		return keys, snapshot
	}
	if _, snapshot := poll(); !snapshot {
		t.Error("the first poll returned no snapshot")
	}
	keys, snapshot := poll()
	if diff := cmp.Diff([]any{[]string{"c", "d", "e"}, false}, []any{keys, snapshot}); diff != "" {
		t.Errorf("second poll (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(int64(5), f.Position()); diff != "" {
		t.Errorf("position (-want +got):\n%s", diff)
	}
}
