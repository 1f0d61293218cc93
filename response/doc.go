// Package response transfers a response completely from the agent that received
// it to the router that waits for it, over connections that may stop responding.
//
// On the agent a Registry holds one buffer per attempt: a Writer adds the
// upstream's response, and any number of Readers read it, each from its own
// offset. On the router an Assembler accepts only the frames that continue the
// response, and returns the offset at which to resume.
package response
