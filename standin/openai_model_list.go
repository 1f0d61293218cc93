package standin

// openAIModelList is the response of /v1/models.
type openAIModelList struct {
	Object string        `json:"object"`
	Data   []openAIModel `json:"data"`
}
