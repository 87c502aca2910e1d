// The interface between the connections of clients and the protocol spoken on them: one
// ClientProtocol for all connections, and one ClientCodec each, which talks through a
// ClientChannel.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "base/time.h"
#include "client/arrival_times.h"

namespace reedchute::client {

// Why a client is disconnected with a final message.
enum class DisconnectReason {
  atCapacity,      // too many clients are connected
  memoryLimit,     // its message is too long for the memory that is left
  startupTimeout,  // it didn't complete the protocol's startup in time
  messageTimeout,  // it left a message unfinished
  draining,        // it left a message unfinished as the proxy shuts down
};

// The connection as the codec sees it. Bytes go out in the order in which they were given.
class ClientChannel {
 public:
  virtual ~ClientChannel() = default;
  virtual void send(std::string bytes) = 0;
  // Sends the whole response to one statement, whose client waits for it until `deadline`.
  virtual void sendResponse(std::string bytes, TimePoint deadline) = 0;
  // Closes once all is sent and the client had time to read it.
  virtual void closeAfterFlush() = 0;
  // The same for a proxy that shuts down: what arrives from now on stays unread, so that the client
  // sends it elsewhere.
  virtual void closeForDrain() = 0;
  virtual void closeNow() = 0;
  // Has the client closed the connection by now?
  virtual bool isClientGone() const = 0;
};

// One connection's state in its protocol: decodes messages and encodes responses. No I/O.
class ClientCodec {
 public:
  virtual ~ClientCodec() = default;
  // Decodes one message from the beginning of `bytes` and sets `used` to the bytes that are done
  // with; none where the codec is paused by now. False where no whole message is there yet. A
  // malformed message is answered, and the channel closed. `arrivals`: when the bytes arrived.
  virtual bool decodeMessage(std::string_view bytes, const ArrivalTimes& arrivals,
                             std::size_t& used) = 0;
  virtual bool hasCompletedStartup() const = 0;
  // Statements that await their response.
  virtual std::size_t pendingResponses() const = 0;
  // True while no further message is decoded before a response is sent.
  virtual bool isPaused() const = 0;
  // Whole responses that wait for their turn, of the pending ones.
  virtual std::size_t bufferedResponses() const { return 0; }
  // Sends the final message.
  virtual void disconnect(DisconnectReason reason) = 0;
  // The connection has ended: pending responses are not wanted any more.
  virtual void onClientClosed() = 0;
};

class ClientProtocol {
 public:
  virtual ~ClientProtocol() = default;
  virtual std::unique_ptr<ClientCodec> newCodec(ClientChannel& channel) = 0;
  // Bytes to gather before a message is whole.
  virtual std::size_t maxMessageBytes() const = 0;
};

}  // namespace reedchute::client
