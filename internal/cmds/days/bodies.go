package main

import (
	"fmt"
	"strings"

	"github.com/wasabibend/wasabibend/platform/mimic"
)

// addRecords checks what an upstream read of the bodies of the day's requests.
func (d *Day) addRecords(records []mimic.Record) {
	for _, r := range records {
		if r.Kind != mimic.Read || r.At.Before(d.Start) {
			continue
		}
		d.Bodies++
		name, _, _ := strings.Cut(strings.TrimPrefix(r.Path, "/"), "/")
		switch k := d.Sheet.kind(name); {
		case r.Body.DiffersAt != nil:
			d.Differing = append(d.Differing, fmt.Sprintf("%s: %d bytes read, other ones than the caller's from offset %d on", r.ID, r.Body.Bytes, *r.Body.DiffersAt))
		case r.Body.Whole && (k == nil || r.Body.Bytes != int64(k.Body)):
			d.Differing = append(d.Differing, fmt.Sprintf("%s: a whole body of %d bytes, other than the caller's", r.ID, r.Body.Bytes))
		}
	}
}

// addOutcomes checks the responses of upstreams that read another whole body.
func (d *Day) addOutcomes() {
	for i := range d.Outcomes {
		if o := &d.Outcomes[i]; o.BodyDiffers {
			d.Differing = append(d.Differing, fmt.Sprintf("a request of kind %s at host %d: a success for another body", o.Kind.Name, o.Host+1))
		}
	}
}
