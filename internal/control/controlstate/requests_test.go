package controlstate

import "pebbleloom/internal/wire"

// putRequest returns a request to change a document.
func putRequest(put *wire.Put) *wire.ChangeRequest {
	return &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Put{Put: put}}}
}

// grantRequest returns a request to grant, renew or release a lease.
func grantRequest(grant *wire.Grant) *wire.ChangeRequest {
	return &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Grant{Grant: grant}}}
}
