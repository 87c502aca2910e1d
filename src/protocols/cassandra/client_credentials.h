// The user and password that a client gives in AUTH_RESPONSE. No I/O.
#pragma once

#include <string_view>

namespace reedchute::protocols::cassandra {

// Views into the body of AUTH_RESPONSE; both are empty where it isn't well formed.
struct ClientCredentials {
  bool isWellFormed = false;
  std::string_view user, password;
};

// Reads a body that holds one SASL PLAIN token.
ClientCredentials readCredentials(std::string_view authResponseBody);

// Compares what a client gave with what is expected, in a time that doesn't depend on where they
// differ.
bool isSameSecret(std::string_view given, std::string_view expected);

}  // namespace reedchute::protocols::cassandra
