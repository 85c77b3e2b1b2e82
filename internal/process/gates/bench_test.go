package gates

import (
	"strconv"
	"testing"
	"time"
)

// BenchmarkQueue measures offering and finishing a request, by the number of
// waiting requests.
func BenchmarkQueue(b *testing.B) {
	for _, waiting := range []int{0, 16, 200} {
		b.Run(strconv.Itoa(waiting), func(b *testing.B) {
			now := time.Unix(1000, 0)
			q := NewQueue(Static(waiting + 1))
			ticket := func() *Ticket {
				return &Ticket{Customer: "amis", Deadline: now.Add(time.Hour), Importance: 5, Weight: 1}
			}
			var running []*Ticket
			for range 2*waiting + 1 {
				t := ticket()
				if runs, _ := q.Offer(now, t); runs {
					running = append(running, t)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				q.Offer(now, ticket())
				runs, _ := q.Finish(now, running[0], false)
				running = append(running[1:], runs...)
				if len(running) == 0 {
					running = append(running, ticket())
					q.Offer(now, running[0])
				}
			}
		})
	}
}
