package control

// decoders gives an empty message for the parameters of each method.
var decoders = map[string]func() any{}
