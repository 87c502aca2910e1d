// What a protocol is towards its clients: a ClientProtocol for all of them and a ClientCodec for
// each connection, which speaks on a ClientChannel.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "base/time.h"
#include "client/arrival_times.h"

namespace reedchute::client {

// Why a client is told its last word.
enum class DisconnectReason {
  atCapacity,      // there is no room for one more
  memoryLimit,     // its message is too long for what is left
  startupTimeout,  // it didn't say in time who it is
  messageTimeout,  // it left a message unfinished
};

// Where a talk says something; a session.
class ClientChannel {
 public:
  virtual ~ClientChannel() = default;
  virtual void send(std::string bytes) = 0;  // to the client, in order
  // The whole answer to one statement, whose client waits for it until then; in the same order.
  virtual void sendResponse(std::string bytes, TimePoint until) = 0;
  virtual void closeAfterFlush() = 0;  // what was said was the last; it is given time to read it
  // The same as the front is told to end: what comes from now on is not read, so that its client
  // asks it elsewhere.
  virtual void closeForDrain() = 0;
  virtual void closeNow() = 0;  // closes at once
  // Has its client closed the connection, by now?
  virtual bool isClientGone() const = 0;
};

// One client's connection in its protocol: takes messages off what came and says what is to be
// answered. No I/O.
class ClientCodec {
 public:
  virtual ~ClientCodec() = default;
  // Takes one message off the beginning of `bytes`, of which `used` are then done with: none where
  // it is full by now. False where none is whole yet. A garbled one is answered and the line ended.
  // `came`: when each of the bytes did.
  virtual bool decodeMessage(std::string_view bytes, const ArrivalTimes& came,
                             std::size_t& used) = 0;
  virtual bool hasCompletedStartup() const = 0;
  virtual std::size_t pendingResponses() const = 0;  // answers to statements
  virtual bool isPaused() const = 0;                 // takes no message before an answer has gone
  virtual std::size_t bufferedResponses() const {
    return 0;
  }  // whole answers to statements that wait for their turn
  virtual void disconnect(DisconnectReason why) = 0;  // says the last word
  virtual void onClientClosed() = 0;  // its client has gone: what is owed is wanted no more
};

// A protocol's unit for its clients.
class ClientProtocol {
 public:
  virtual ~ClientProtocol() = default;
  virtual std::unique_ptr<ClientCodec> newCodec(ClientChannel& line) = 0;
  virtual std::size_t maxMessageBytes() const = 0;  // bytes that may have to be gathered
};

}  // namespace reedchute::client
