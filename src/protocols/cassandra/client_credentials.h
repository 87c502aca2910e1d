// Parses and compares the user name and password of an AUTH_RESPONSE. No I/O.
#pragma once

#include <string_view>

namespace reedchute::protocols::cassandra {

// Views into the body of the AUTH_RESPONSE; empty if the body is malformed.
struct ClientCredentials {
  bool isWellFormed = false;
  std::string_view user, password;
};

// Parses an AUTH_RESPONSE body, which contains one SASL PLAIN token (RFC 4616).
ClientCredentials readCredentials(std::string_view authResponseBody);

// Compares the secret that a client sent with the expected one. The time doesn't depend on the
// position of the first difference.
bool isSameSecret(std::string_view given, std::string_view expected);

}  // namespace reedchute::protocols::cassandra
