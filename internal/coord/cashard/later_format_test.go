package cashard

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// oldMachine is a state machine of an older version: it cannot read the record
// "later".
type oldMachine struct{ applied []string }

func (m *oldMachine) Apply(record []byte) error {
	if string(record) == "later" {
		return caversion.CheckFormat("record", caversion.FormatNewest+1, caversion.FormatNewest)
	}
	m.applied = append(m.applied, string(record))
	return nil
}

func (m *oldMachine) Snapshot() ([]byte, error) { return nil, nil }

func (m *oldMachine) Restore([]byte) error { return nil }

// TestBackupStopsAtRecordOfLaterFormat guards against a backup that acknowledges a
// record that it cannot read, or one after it. After a takeover it would lead
// without that record.
func TestBackupStopsAtRecordOfLaterFormat(t *testing.T) {
	machine := &oldMachine{}
	view := View{Shard: "s", Number: 1, Primary: Member{"a", 1}, Backup: Member{"b", 1}}
	b := &backup{self: view.Backup, view: view, machine: machine}
	req := ReplicateRequest{To: view.Backup, View: view, First: 1, Records: [][]byte{[]byte("one"), []byte("later"), []byte("three")}}
	for range 2 {
		if _, err := b.handle(time.Unix(1, 0), req); !isLaterFormat(err) {
			t.Errorf("reply to a record of a later format: %v", err)
		}
	}
	if diff := cmp.Diff([]string{"one"}, machine.applied); diff != "" {
		t.Errorf("applied records mismatch (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(int64(1), b.lastIndex); diff != "" {
		t.Errorf("last record mismatch (-want +got):\n%s", diff)
	}
}

func TestRestoreRejectsRecordOfLaterFormat(t *testing.T) {
	image := LoggedState{View: View{Shard: cawork.ShardID("s")}, Records: [][]byte{[]byte("one"), []byte("later")}}
	if _, err := restoreImage(&oldMachine{}, image); !isLaterFormat(err) {
		t.Errorf("restore: %v", err)
	}
}
