// Package response carries an answer whole from the agent that has it to the
// router that waits for it, over connections that may go silent.
//
// On the agent a Registry holds one buffer per attempt: the upstream's answer
// goes in through a Writer, and any number of Readers take it out, each from an
// offset of its own. On the router an Assembler accepts only the frames that
// continue the answer waited for, and says where to resume.
package response
