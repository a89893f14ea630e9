package standin

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/lilacbridge/lilacbridge/process/number"
)

const (
	// MedianPrefix, followed by a number in one word of the prompt, sets the median length
	// of the answer in tokens. The router does not interpret it.
	MedianPrefix = "median="
	// RefPrefix, followed by a name in one word of a prompt or body, makes GET /stats count
	// the runs of that request.
	RefPrefix = "ref:"

	defaultMedianTokens = 40
	// lengthSigma is the standard deviation of the logarithm of answer lengths: one in
	// twenty answers is longer than 3.7 times the median.
	lengthSigma = 0.8
	// maxMedians bounds the length of an answer, as a multiple of the median.
	maxMedians = 8
)

// Message is one turn of a conversation.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is the text of a message. In JSON it is a string or a list of text parts.
type Content string

// UnmarshalJSON accepts a string, null or a list of text parts.
func (c *Content) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		*c = Content(text)
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	for _, part := range parts {
		*c += Content(part.Text)
	}
	return nil
}

// Answer returns the tokens of a model's answer to the messages. Concatenated they are its
// text. maxTokens bounds their number; 0 means no bound.
func Answer(model string, messages []Message, maxTokens int) []string {
	tokens := fullAnswer(model, messages)
	if maxTokens > 0 && len(tokens) > maxTokens {
		return tokens[:maxTokens]
	}
	return tokens
}

// Continue returns the rest of an answer whose beginning is the last message. As in real
// engines, maxTokens bounds only the returned tokens.
func Continue(model string, messages []Message, maxTokens int) []string {
	last := len(messages) - 1
	tokens := fullAnswer(model, messages[:last])
	done := min(len(strings.Fields(string(messages[last].Content))), len(tokens))
	tokens = tokens[done:]
	if maxTokens > 0 && len(tokens) > maxTokens {
		return tokens[:maxTokens]
	}
	return tokens
}

func fullAnswer(model string, messages []Message) []string {
	hash := xxhash.New()
	_, _ = hash.WriteString(model)
	median := defaultMedianTokens
	for _, message := range messages {
		_, _ = hash.WriteString("\x00" + message.Role + "\x00" + string(message.Content))
		if medianText, ok := wordAfter(string(message.Content), MedianPrefix); ok {
			median = positiveOr(medianText, median)
		}
	}
	random := rand.New(rand.NewPCG(hash.Sum64(), 0))
	length := float64(median) * math.Exp(lengthSigma*random.NormFloat64())
	length = math.Min(math.Max(length, 1), float64(maxMedians*median))
	tokens := make([]string, number.Int(length))
	for i := range tokens {
		tokens[i] = fmt.Sprintf(" %s%02x", syllables[random.IntN(len(syllables))], random.IntN(256))
	}
	tokens[0] = strings.TrimPrefix(tokens[0], " ")
	return tokens
}

var syllables = []string{"ba", "co", "di", "fe", "gu", "la", "mo", "ni", "pa", "ru", "sé", "ti", "vo", "ñu"}

func wordAfter(text, prefix string) (string, bool) {
	for _, word := range strings.Fields(text) {
		if rest, ok := strings.CutPrefix(word, prefix); ok {
			return rest, true
		}
	}
	return "", false
}

func positiveOr(text string, fallback int) int {
	number, err := strconv.Atoi(text)
	if err != nil || number < 1 {
		return fallback
	}
	return number
}
