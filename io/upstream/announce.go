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

// AnnouncePath is where a backend server announces itself to its node.
const AnnouncePath = "/.coltsfootward/announce"

// maximumAnnouncement bounds an announcement in bytes.
const maximumAnnouncement = 16 << 10

// Announcement is what a backend server says of itself.
type Announcement struct {
	Service coltsfootward.ServiceName `json:"service"`
	// Address is the IP number and port that it serves HTTP on.
	Address string `json:"address"`
	// Slots is how many requests it serves at once.
	Slots int `json:"slots"`
	// Connections is how many connections it accepts.
	Connections int `json:"connections"`
	// Draining is set when it takes no new work.
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
		err = a.check()
	}
	if err != nil {
		http.Error(w, "upstream: announcement refused: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.Use(a.Address, a.Connections)
	s.loop.Post(node.BackendAnnounced{Service: a.Service, Slots: a.Slots, Draining: a.Draining})
	w.WriteHeader(http.StatusNoContent)
}

func (a Announcement) check() error {
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
