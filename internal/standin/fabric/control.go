package fabric

import (
	"encoding/json"
	"net/http"
)

// Handler serves the control interface of the fabric, with JSON bodies:
//
//	PUT /routes   takes Routes
//	PUT /faults   takes Faults
//	POST /silence silences the existing caller paths and returns their number
//	GET /counters returns Counters
func (f *Fabric) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /routes", func(w http.ResponseWriter, r *http.Request) {
		var routes Routes
		if decode(w, r, &routes) {
			f.SetRoutes(routes)
		}
	})
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if decode(w, r, &faults) {
			f.SetFaults(faults)
		}
	})
	mux.HandleFunc("POST /silence", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(f.Silence())
	})
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(f.Counters())
	})
	return mux
}

func decode(w http.ResponseWriter, r *http.Request, value any) bool {
	if err := json.NewDecoder(r.Body).Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
