package standin

import (
	"errors"
	"net/http"

	"github.com/chivetiller/chivetiller/provider"
)

// Headers of a request to the stand-in server.
const (
	headerClient     = "Chivetiller-Client"
	headerDataCentre = "Chivetiller-Data-Centre"
	// headerTimeout holds the timeout of the caller, such as "800ms".
	headerTimeout = "Chivetiller-Timeout"
)

// Paths of the calls. All are sent with POST and JSON in both directions.
const (
	pathRead       = "/table/read"
	pathScan       = "/table/scan"
	pathCommit     = "/table/commit"
	pathPut        = "/objects/put"
	pathGet        = "/objects/get"
	pathListNames  = "/objects/list"
	pathDelete     = "/objects/delete"
	pathList       = "/instances/list"
	pathDrain      = "/instances/drain"
	pathUndrain    = "/instances/undrain"
	pathReboot     = "/instances/reboot"
	pathRegister   = "/instances/register"
	pathStart      = "/tasks/start"
	pathRenew      = "/tasks/renew"
	pathStop       = "/tasks/stop"
	pathThrottle   = "/tasks/throttle"
	pathCheckpoint = "/tasks/checkpoint"
	pathStatus     = "/tasks/status"
	pathFaults     = "/faults"
	pathPartition  = "/partition"
	pathHeal       = "/heal"
)

type readCall struct {
	Keys []string `json:"keys"`
}

type scanCall struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

type objectCall struct {
	Name string `json:"name"`
	Data []byte `json:"data,omitempty"`
}

type listCall struct {
	Cursor string `json:"cursor"`
}

type instanceCall struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation,omitempty"`
}

type registerCall struct {
	Instance provider.Instance `json:"instance"`
	// Control is the address of the handler of [InstanceDriverHandler]. Without it, the instance is not controlled.
	Control string `json:"control,omitempty"`
}

type taskCall struct {
	Token    uint64   `json:"token"`
	IDs      []string `json:"ids"`
	Fraction float64  `json:"fraction,omitempty"`
}

func (c taskCall) id() string {
	if len(c.IDs) == 0 {
		return ""
	}
	return c.IDs[0]
}

type statusCall struct {
	Workers []string `json:"workers"`
}

// empty is the result of calls that return nothing.
type empty struct{}

// errorBody is the body of a response whose status is not 200.
type errorBody struct {
	Error  string `json:"error"`
	Detail string `json:"detail"`
}

// wireErrors are the errors that the protocol transmits. An unknown outcome has no response at all.
var wireErrors = []struct {
	name   string
	status int
	err    error
}{
	{"conflict", http.StatusConflict, provider.ErrConflict},
	{"notFound", http.StatusNotFound, provider.ErrNotFound},
	{"unavailable", http.StatusServiceUnavailable, provider.ErrUnavailable},
}

func encodeError(err error) (int, errorBody) {
	for _, e := range wireErrors {
		if errors.Is(err, e.err) {
			return e.status, errorBody{Error: e.name, Detail: err.Error()}
		}
	}
	return http.StatusInternalServerError, errorBody{Error: "internal", Detail: err.Error()}
}
