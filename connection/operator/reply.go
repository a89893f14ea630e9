package operator

import (
	"encoding/json"
	"errors"
	"net/http"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/holding"
	"github.com/lilacbridge/lilacbridge/connection/httpserver"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/version/table"
)

// StatementRequest is the body of POST /v1/statements.
type StatementRequest struct {
	Statement string `json:"statement"`
	// CommandID makes a change safe to repeat: the same id gets the first reply again.
	CommandID string `json:"command_id,omitempty"`
	DryRun    bool   `json:"dry_run,omitempty"`
}

// ApplyRequest is the body of POST /v1/apply.
type ApplyRequest struct {
	// Document is the YAML text of a fleet file.
	Document  string `json:"document"`
	CommandID string `json:"command_id,omitempty"`
	// IfRevision is the revision that the change requires to be current, 0 for an empty
	// configuration; nil means any.
	IfRevision *uint64 `json:"if_revision,omitempty"`
	DryRun     bool    `json:"dry_run,omitempty"`
	// Prune deletes objects that are not in the document.
	Prune bool `json:"prune,omitempty"`
}

// Reply is the reply to either request. Table is set for a query, Change for a change.
type Reply struct {
	Table  *table.Table `json:"table,omitempty"`
	Change *Change      `json:"change,omitempty"`
	// Parts describes the reply of each instance.
	Parts []Part `json:"parts,omitempty"`
	// Missing lists the instances that did not reply.
	Missing []Missing `json:"missing,omitempty"`
	// Omitted is the number of matching rows that were not gathered because there are too
	// many. With a LIMIT, the rows of Table may then not be the first ones.
	Omitted int `json:"left_out,omitempty"`
}

// Change is the result of a change.
type Change struct {
	Revision uint64 `json:"revision"`
	// Repeated is true if the command id was used before.
	Repeated  bool     `json:"repeated,omitempty"`
	DryRun    bool     `json:"dry_run,omitempty"`
	CommandID string   `json:"command_id"`
	Diff      []string `json:"diff,omitempty"`
	// Effect describes, for a dry run, the running requests that the change affects.
	Effect []string `json:"effect,omitempty"`
}

// Part describes the reply of one instance to a query.
type Part struct {
	Instance   string `json:"instance"`
	DataCenter string `json:"data_center"`
	Revision   uint64 `json:"revision"`
	// Newest is the newest revision that the instance knows of, AgeMs the age of that
	// information.
	Newest uint64 `json:"newest"`
	AgeMs  int64  `json:"age_ms"`
	// Rows is the number of rows sent, Matched that of matching rows.
	Rows    int `json:"rows"`
	Matched int `json:"matched"`
}

// Missing is an instance that did not reply to a query. Reason is the error.
type Missing struct {
	Instance   string `json:"instance"`
	DataCenter string `json:"data_center"`
	Reason     string `json:"reason"`
}

// Problem is the body of an error response.
type Problem struct {
	Error ProblemDetail `json:"error"`
}

// ProblemDetail is the typed error; Kind is as in docs/INTERFACES.md.
type ProblemDetail struct {
	Kind         string `json:"kind"`
	Message      string `json:"message"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
}

var statusOf = map[fault.Kind]int{
	lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST:     http.StatusBadRequest,
	lilacv1.ErrorKind_ERROR_KIND_UNAUTHENTICATED: http.StatusUnauthorized,
	lilacv1.ErrorKind_ERROR_KIND_TOO_LARGE:       http.StatusRequestEntityTooLarge,
	lilacv1.ErrorKind_ERROR_KIND_CONFLICT:        http.StatusConflict,
	lilacv1.ErrorKind_ERROR_KIND_INVALID_CHANGE:  http.StatusUnprocessableEntity,
	lilacv1.ErrorKind_ERROR_KIND_NOT_FOUND:       http.StatusNotFound,
	lilacv1.ErrorKind_ERROR_KIND_DISK_FULL:       http.StatusInsufficientStorage,
	lilacv1.ErrorKind_ERROR_KIND_TIMEOUT:         http.StatusGatewayTimeout,
	lilacv1.ErrorKind_ERROR_KIND_INTERNAL:        http.StatusInternalServerError,
}

func writeError(w http.ResponseWriter, err error) {
	status, ok := statusOf[fault.KindOf(err)]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, Problem{ProblemDetail{
		Kind:         fault.Name(fault.KindOf(err)),
		Message:      err.Error(),
		RetryAfterMs: fault.RetryAfterOf(err).Milliseconds(),
	}})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// readBody reads the body once there is room for it and for what it takes once it is parsed.
func readBody(w http.ResponseWriter, r *http.Request, hold *holding.Hold) ([]byte, error) {
	body, err := httpserver.ReadBody(w, r, hold, httpserver.BodyLimits{Bytes: maxBodyBytes, Time: bodyTime, RoomWait: roomWait})
	if err == nil {
		err = hold.WaitToDecode(r.Context(), int64(len(body))*decodedShare, roomWait)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_TOO_LARGE, "the request body is larger than %d bytes; split the file", maxBodyBytes)
	case errors.Is(err, holding.ErrNoRoom):
		return nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "this instance holds too much for others to accept the request body; send it again, or to another instance", fault.WithNotRun(lilacv1.NotRun_NOT_RUN_TRUE))
	case err != nil:
		return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "the request body could not be read")
	}
	return body, nil
}
