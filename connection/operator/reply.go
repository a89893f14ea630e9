package operator

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/version/table"
)

// StatementRequest is the body of POST /v1/statements.
type StatementRequest struct {
	Statement string `json:"statement"`
	// CommandID makes a resend safe: the same id gets the first answer again.
	CommandID string `json:"command_id,omitempty"`
	DryRun    bool   `json:"dry_run,omitempty"`
}

// ApplyRequest is the body of POST /v1/apply.
type ApplyRequest struct {
	// Document is the YAML text of a fleet file.
	Document  string `json:"document"`
	CommandID string `json:"command_id,omitempty"`
	// IfRevision is the revision that must be the current one, 0 for an empty
	// configuration; absent means any.
	IfRevision *uint64 `json:"if_revision,omitempty"`
	DryRun     bool    `json:"dry_run,omitempty"`
	// Prune drops objects that the document lacks.
	Prune bool `json:"prune,omitempty"`
}

// Reply answers both; Table is set for a query, Change for a change.
type Reply struct {
	Table  *table.Table `json:"table,omitempty"`
	Change *Change      `json:"change,omitempty"`
	// Parts says how old the answer of each instance is.
	Parts []Part `json:"parts,omitempty"`
	// Missing names the instances that did not answer, and why.
	Missing []Missing `json:"missing,omitempty"`
	// Omitted counts rows that matched and were not gathered, since there are too
	// many; with a LIMIT, the rows shown may then not be the first ones.
	Omitted int `json:"left_out,omitempty"`
}

// Change tells what became of a change.
type Change struct {
	Revision uint64 `json:"revision"`
	// Repeated is true where the command id had been seen before.
	Repeated  bool     `json:"repeated,omitempty"`
	DryRun    bool     `json:"dry_run,omitempty"`
	CommandID string   `json:"command_id"`
	Diff      []string `json:"diff,omitempty"`
	// Effect says, for a dry run, which running requests the change concerns.
	Effect []string `json:"effect,omitempty"`
}

// Part is one instance's share of a query.
type Part struct {
	Instance   string `json:"instance"`
	DataCenter string `json:"data_center"`
	Revision   uint64 `json:"revision"`
	// Newest is the newest revision that the instance has heard of, AgeMs how
	// long ago that was sure.
	Newest uint64 `json:"newest"`
	AgeMs  int64  `json:"age_ms"`
	// Rows were sent, of those that Matched.
	Rows    int `json:"rows"`
	Matched int `json:"matched"`
}

// Missing is an instance that did not answer a query.
type Missing struct {
	Instance   string `json:"instance"`
	DataCenter string `json:"data_center"`
	Reason     string `json:"reason"`
}

// Problem is the body of an error.
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

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_TOO_LARGE, "the body is over %d bytes; split the file", maxBody)
	}
	if err != nil {
		return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "the body could not be read")
	}
	return body, nil
}
