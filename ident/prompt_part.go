package ident

import "strconv"

// PromptPart is the id of one part of a prompt. Requests share parts.
type PromptPart uint64

// String returns the id in hexadecimal, as callers send it.
func (p PromptPart) String() string { return strconv.FormatUint(uint64(p), 16) }
