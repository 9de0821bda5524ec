package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"coltsfootward"
	platformio "coltsfootward/io/platform"

	"github.com/gorilla/mux"
)

// maximumRequestBytes is the maximum size of a request body, in bytes.
const maximumRequestBytes = 16 << 20

// Handler serves the platform's API over HTTP. PUT /failure sets the Failure to
// simulate.
func (p *Platform) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(platformio.PathRead, p.serveRead).Methods(http.MethodPost)
	router.HandleFunc(platformio.PathScan, p.serveScan).Methods(http.MethodPost)
	router.HandleFunc(platformio.PathTransact, p.serveTransact).Methods(http.MethodPost)
	router.HandleFunc(platformio.PathObjects+"{name:.+}", p.serveGet).Methods(http.MethodGet)
	router.HandleFunc(platformio.PathObjects+"{name:.+}", p.servePut).Methods(http.MethodPut)
	router.HandleFunc("/failure", p.serveFailure).Methods(http.MethodPut)
	return router
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	var request platformio.ReadRequest
	if !decode(w, r, &request) {
		return
	}
	row, err := p.Read(r.Context(), request.Key)
	writeResult(w, platformio.RowsResponse{Rows: []coltsfootward.Row{row}}, err)
}

func (p *Platform) serveScan(w http.ResponseWriter, r *http.Request) {
	var request platformio.ScanRequest
	if !decode(w, r, &request) {
		return
	}
	rows, err := p.Scan(r.Context(), request.Prefix, request.After, request.Limit)
	writeResult(w, platformio.RowsResponse{Rows: rows}, err)
}

func (p *Platform) serveTransact(w http.ResponseWriter, r *http.Request) {
	var request coltsfootward.Transaction
	if !decode(w, r, &request) {
		return
	}
	writeResult(w, struct{}{}, p.Transact(r.Context(), request))
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	data, err := p.Get(r.Context(), mux.Vars(r)["name"])
	if err != nil {
		writeResult(w, nil, err)
		return
	}
	_, _ = w.Write(data) // the client may have disconnected
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maximumRequestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeResult(w, struct{}{}, p.Put(r.Context(), mux.Vars(r)["name"], data))
}

func (p *Platform) serveFailure(w http.ResponseWriter, r *http.Request) {
	var f Failure
	if !decode(w, r, &f) {
		return
	}
	p.SetFailure(f)
	w.WriteHeader(http.StatusNoContent)
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maximumRequestBytes)).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeResult writes the result of an operation. For any error other than a conflict or
// a missing object it aborts the connection without a response, as an unavailable
// platform would.
func writeResult(w http.ResponseWriter, value any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(value) // the client may have disconnected
	case errors.Is(err, coltsfootward.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, coltsfootward.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	default:
		panic(http.ErrAbortHandler)
	}
}
