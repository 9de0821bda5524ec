package message

// KindLoadNotice names a LoadNotice on the wire.
const KindLoadNotice Kind = "load_notice"

// LoadNotice tells an entry node the load of the backend server beside the sender when it has
// changed since the entry node's last request. Cost and Downstream are not set.
type LoadNotice struct {
	Load Load `msgpack:"load"`
}

// MessageKind implements Message.
func (*LoadNotice) MessageKind() Kind { return KindLoadNotice }
