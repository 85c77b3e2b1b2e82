package main

import (
	"bytes"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["upload"] = poisonUpload }

// uploadBytes is the length of each upload.
const uploadBytes = 60000

// poisonUpload: an upload that crashes the servers that run it comes again and again, among other
// uploads of the same tenant to the same path. Without trouble it crashes none.
func poisonUpload(root string, rec *record, trouble bool) (bool, error) {
	f, err := newFleet(root, rec, "za:sa", "zb:sa", "zc:sa", "za:sa", "zb:sa", "zc:sa")
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := f.putConfig(configOf("upload", 5000)); err != nil {
		return false, err
	}
	options := serverOptions{slots: 100, work: 70 * time.Millisecond}
	if trouble {
		options.poison = poisonEarly
	}
	if err := f.startAll(options); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var clients []*client
	for _, h := range f.hosts {
		clients = append(clients, newClient(rec, h))
	}
	upload := func(content string) request {
		body := bytes.Repeat([]byte(content+" "), uploadBytes/len(content))[:uploadBytes]
		return request{host: "a.example", key: "keykeykeykeykeykey01", method: http.MethodPost, path: "/a/certificates", limit: 5 * time.Second, body: body}
	}
	var got, poisoned answers
	var workers sync.WaitGroup
	begin := time.Now()
	workers.Add(1)
	go func() {
		defer workers.Done()
		for i := 0; time.Since(begin) < 40*time.Second; i++ {
			c := clients[i%len(clients)]
			workers.Add(1)
			go func() {
				defer workers.Done()
				got.add(c.send(upload("certificate " + strings.Repeat("x", i%50))))
			}()
			time.Sleep(50 * time.Millisecond)
		}
	}()
	for i := 0; time.Since(begin) < 40*time.Second; i++ {
		poisoned.add(clients[i%len(clients)].send(upload(poisonContent)))
		time.Sleep(1500 * time.Millisecond)
	}
	workers.Wait()
	return f.judgePoison(&poisoned, &got), nil
}
