package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"coltsfootward/io/upstream"
)

func (b *Backend) announce() {
	ticker := time.NewTicker(b.options.AnnounceInterval)
	defer ticker.Stop()
	for {
		b.announceOnce()
		b.sampleLoad()
		select {
		case <-ticker.C:
		case <-b.done:
			return
		}
	}
}

func (b *Backend) announceOnce() {
	a := b.options.Announcement
	a.Address = b.Address()
	a.Draining = b.currentBehaviour().Draining
	data, err := json.Marshal(a)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+b.options.NodeAddress+upstream.AnnouncePath, bytes.NewReader(data))
	if err != nil {
		return
	}
	response, err := b.client.Do(request)
	if err != nil {
		return // the node may not be running yet; the announcement is repeated
	}
	response.Body.Close()
}
