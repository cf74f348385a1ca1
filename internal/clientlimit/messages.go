package clientlimit

import (
	"context"
	"slices"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/encoding"
	protocodec "google.golang.org/grpc/encoding/proto"
	"google.golang.org/grpc/mem"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// EntryCodec returns the option of a gRPC server that counts the entries of messages before it decodes them; its services are registered with
// BoundEntries.
//
// Load pattern: messages within the limit on bytes whose decoded form is many times larger, since an empty entry takes two bytes on the wire
// and about 100 decoded.
func EntryCodec() grpc.ServerOption {
	return grpc.ForceServerCodecV2(entryCodec{encoding.GetCodecV2(protocodec.Name)})
}

// boundedMessage is a message that is decoded if it has at most limit entries. It carries the refusal past the gRPC library, which answers
// errors of a codec with codes.Internal.
type boundedMessage struct {
	message any
	limit   int
	refused bool
}

type entryCodec struct{ encoding.CodecV2 }

// Unmarshal decodes the message unless it has too many entries.
func (c entryCodec) Unmarshal(data mem.BufferSlice, v any) error {
	bounded, ok := v.(*boundedMessage)
	if !ok {
		return c.CodecV2.Unmarshal(data, v)
	}
	if m, ok := bounded.message.(proto.Message); ok {
		buffer := data.MaterializeToBuffer(mem.DefaultBufferPool())
		defer buffer.Free()
		if countEntries(buffer.ReadOnlyData(), m.ProtoReflect().Descriptor(), bounded.limit) > bounded.limit {
			bounded.refused = true
			return nil
		}
	}
	return c.CodecV2.Unmarshal(data, bounded.message)
}

// countEntries returns the number of nested messages and list elements, or more than limit when there are more. It stops at a malformed field,
// where the decoder fails as well.
func countEntries(data []byte, message protoreflect.MessageDescriptor, limit int) int {
	n := 0
	for len(data) > 0 && n <= limit {
		number, wireType, size := protowire.ConsumeTag(data)
		if size < 0 {
			return n
		}
		data = data[size:]
		if size = protowire.ConsumeFieldValue(number, wireType, data); size < 0 {
			return n
		}
		field := message.Fields().ByNumber(number)
		if field != nil && (field.IsList() || field.Message() != nil) {
			n++
			if field.Message() != nil && wireType == protowire.BytesType {
				value, _ := protowire.ConsumeBytes(data)
				n += countEntries(value, field.Message(), limit-n)
			}
		}
		data = data[size:]
	}
	return n
}

// BoundEntries returns a registrar that refuses unary calls whose message has more entries than limit returns for its type. The server has the
// option of EntryCodec.
func BoundEntries(to grpc.ServiceRegistrar, limit func(message any) int) grpc.ServiceRegistrar {
	return entryRegistrar{to, limit}
}

type entryRegistrar struct {
	to    grpc.ServiceRegistrar
	limit func(message any) int
}

// RegisterService registers the service with bounded messages.
func (r entryRegistrar) RegisterService(desc *grpc.ServiceDesc, impl any) {
	bounded := *desc
	bounded.Methods = slices.Clone(desc.Methods)
	for i := range bounded.Methods {
		handler := bounded.Methods[i].Handler
		bounded.Methods[i].Handler = func(srv any, ctx context.Context, decode func(any) error, interceptor grpc.UnaryServerInterceptor) (any, error) { //nolint:revive // the library's order
			return handler(srv, ctx, func(message any) error {
				m := &boundedMessage{message: message, limit: r.limit(message)}
				if err := decode(m); err != nil {
					return err
				}
				if m.refused {
					return status.Errorf(codes.ResourceExhausted, "the message has more than %d entries", m.limit)
				}
				return nil
			}, interceptor)
		}
	}
	r.to.RegisterService(&bounded, impl)
}
