package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestServiceCountsRunsByIdempotencyKey(t *testing.T) {
	i := is.New(t)
	service := NewService(ServiceConfig{})
	url := listen(t, service.Routes)
	for range 2 {
		request, err := http.NewRequest(http.MethodPost, url+"/book", strings.NewReader("ref:a berth 4"))
		i.NoErr(err)
		request.Header.Set("Idempotency-Key", "k1")
		response, err := http.DefaultClient.Do(request)
		i.NoErr(err)
		body, err := io.ReadAll(response.Body)
		i.NoErr(err)
		response.Body.Close()
		i.Equal(string(body), string(ServiceBody(http.MethodPost, "/book", []byte("ref:a berth 4"))))
	}
	response, err := http.Get(url + "/stats")
	i.NoErr(err)
	defer response.Body.Close()
	var stats ServiceStats
	i.NoErr(json.NewDecoder(response.Body).Decode(&stats))
	i.Equal(stats.Runs["k1"], 2)
	i.Equal(stats.Refs["a"], 2)
}

func TestPlatformListChangeIsDelayed(t *testing.T) {
	i := is.New(t)
	start := time.Unix(100, 0)
	platform := NewPlatform(30*time.Second, InstanceList{})
	platform.set(InstanceList{Instances: []Instance{{Name: "r1", State: "leaving"}}}, start)
	i.Equal(len(platform.visible(start.Add(29*time.Second)).Instances), 0)
	i.Equal(platform.visible(start.Add(30 * time.Second)).Instances[0].Name, "r1")
}
