// The interface between client connections and their protocol: one ClientProtocol for all
// connections, and per connection one ClientCodec, which sends through a ClientChannel.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "base/time.h"
#include "client/arrival_times.h"

namespace reedchute::client {

// Why the proxy disconnects a client with a final message.
enum class DisconnectReason {
  atCapacity,      // too many clients are connected
  memoryLimit,     // its message doesn't fit into the remaining memory
  startupTimeout,  // it didn't complete the protocol's startup in time
  messageTimeout,  // it didn't complete a message in time
  draining,        // its message is incomplete while the proxy shuts down
};

// The codec's view of its connection. Bytes are sent in the order of the calls.
class ClientChannel {
 public:
  virtual ~ClientChannel() = default;
  virtual void send(std::string bytes) = 0;
  // Sends the whole response to one statement. The client waits for it until `deadline`.
  virtual void sendResponse(std::string bytes, TimePoint deadline) = 0;
  // Closes the connection once all output is written and the client has had time to read it.
  virtual void closeAfterFlush() = 0;
  // Like closeAfterFlush(), while the proxy shuts down: input that arrives from now on is left
  // unread, so that the client sends it to another proxy.
  virtual void closeForDrain() = 0;
  virtual void closeNow() = 0;
  // Whether the client has closed the connection.
  virtual bool isClientGone() const = 0;
};

// The protocol state of one connection: decodes messages and encodes responses. Does no I/O.
class ClientCodec {
 public:
  virtual ~ClientCodec() = default;
  // Decodes one message from the beginning of `bytes` and sets `used` to the number of bytes
  // consumed; 0 if the message has paused the codec and is to be decoded again later. Returns false
  // if no whole message is available yet. A malformed message is answered with an error, and the
  // channel closed. `arrivals`: the arrival times of `bytes`.
  virtual bool decodeMessage(std::string_view bytes, const ArrivalTimes& arrivals,
                             std::size_t& used) = 0;
  // Whether a whole message is left, in the codec or at the beginning of `bytes`.
  virtual bool hasWholeMessage(std::string_view bytes) const = 0;
  // Bytes consumed by decodeMessage() of messages that are not decoded yet.
  virtual std::size_t undecodedBytes() const { return 0; }
  // Memory of the buffers for input that the codec has consumed, in bytes.
  virtual std::size_t inputBufferBytes() const { return 0; }
  virtual bool hasCompletedStartup() const = 0;
  // Number of statements whose response is pending.
  virtual std::size_t pendingResponses() const = 0;
  // True while no further message can be decoded until a response has been sent.
  virtual bool isPaused() const = 0;
  // Number of pending responses that are complete and wait for earlier ones to be sent.
  virtual std::size_t bufferedResponses() const { return 0; }
  // Sends the protocol's final message for `reason` and closes the channel.
  virtual void disconnect(DisconnectReason reason) = 0;
  // Called when the connection has ended. Withdraws the statements whose response is pending.
  virtual void onClientClosed() = 0;
};

class ClientProtocol {
 public:
  virtual ~ClientProtocol() = default;
  virtual std::unique_ptr<ClientCodec> newCodec(ClientChannel& channel) = 0;
  // Length limit of one message, in bytes.
  virtual std::size_t maxMessageBytes() const = 0;
};

}  // namespace reedchute::client
