package casoak

import (
	"bufio"
	"encoding/json"
	"os"

	"celeryarch.example/celeryarch/internal/base/caevent"
)

// maxLineBytes bounds the lines of a log.
const maxLineBytes = 1 << 20

// drainLine is the line of a log that tells how the drain of a node went.
type drainLine struct {
	Event      caevent.Number `json:"event"`
	Unanswered int            `json:"unanswered"`
}

// checkDrains records a violation for each drain after which a node had calls without an answer, by
// its own count.
func (c *cell) checkDrains(n *node, l *outcomeLog) {
	if !c.isPlanned {
		return
	}
	log, err := os.Open(n.logFile.Name())
	if err != nil {
		l.recordViolation("the log of %s is not read: %v", n.name, err)
		return
	}
	defer func() { _ = log.Close() }()
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var line drainLine
		// Lines that are not JSON are those of the soak itself and traces of panics.
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Event == caevent.CallersDrained && line.Unanswered > 0 {
			l.recordViolation("%s left %d calls without an answer as it stopped: %s", n.name, line.Unanswered, lines.Text())
		}
	}
	if err := lines.Err(); err != nil {
		l.recordViolation("the log of %s is not read: %v", n.name, err)
	}
}
