package upstream

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"

	"coltsfootward"
	"coltsfootward/core/node"

	"github.com/gorilla/mux"
)

// AnnouncePath is the path to which a backend server posts its Announcement.
const AnnouncePath = "/.coltsfootward/announce"

// maximumAnnouncement is the maximum size of an announcement in bytes.
const maximumAnnouncement = 16 << 10

// Announcement is the JSON body with which a backend server registers at its node.
type Announcement struct {
	Service coltsfootward.ServiceName `json:"service"`
	// Address is the IP address and port at which the backend server serves HTTP.
	Address string `json:"address"`
	// Slots is the number of requests that the backend server handles concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections that the backend server accepts.
	Connections int `json:"connections"`
	// Draining is set if the backend server accepts no new requests.
	Draining bool `json:"draining"`
}

// Register adds the route for announcements to the router.
func (s *Server) Register(router *mux.Router) {
	router.HandleFunc(AnnouncePath, s.announce).Methods(http.MethodPost)
}

func (s *Server) announce(w http.ResponseWriter, r *http.Request) {
	var a Announcement
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maximumAnnouncement))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&a)
	if err == nil {
		err = a.validate()
	}
	if err != nil {
		http.Error(w, "upstream: announcement refused: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.SetBackend(a.Address, a.Connections)
	s.loop.Post(node.BackendAnnounced{Service: a.Service, Slots: a.Slots, Draining: a.Draining})
	w.WriteHeader(http.StatusNoContent)
}

func (a Announcement) validate() error {
	if a.Service == "" {
		return fmt.Errorf("service is empty: name the service")
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return fmt.Errorf("address %q: give an IP number and a port", a.Address)
	}
	if a.Slots < 1 {
		return fmt.Errorf("slots is %d: give 1 or more", a.Slots)
	}
	if a.Connections < a.Slots {
		return fmt.Errorf("connections is %d: give at least the %d slots", a.Connections, a.Slots)
	}
	return nil
}
