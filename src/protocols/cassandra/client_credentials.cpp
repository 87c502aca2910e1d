#include "protocols/cassandra/client_credentials.h"

#include <cstddef>

#include "codec/cql/wire.h"

namespace reedchute::protocols::cassandra {

ClientCredentials readCredentials(std::string_view authResponseBody) {
  cql::Cursor cursor(authResponseBody);
  std::string_view token = cursor.bytes().value_or(std::string_view{});
  // SASL PLAIN: authorization identity, user name and password, separated by zero bytes.
  std::size_t first = token.find('\0');
  if (first == std::string_view::npos) return {};
  std::size_t second = token.find('\0', first + 1);
  if (second == std::string_view::npos || !cursor.ended()) return {};
  return {.isWellFormed = true,
          .user = token.substr(first + 1, second - first - 1),
          .password = token.substr(second + 1)};
}

bool isSameSecret(std::string_view given, std::string_view expected) {
  unsigned difference = given.size() != expected.size();
  for (std::size_t k = 0; k < given.size(); ++k) {
    char expectedByte = expected.empty() ? '\0' : expected[k % expected.size()];
    difference |= static_cast<unsigned>(static_cast<unsigned char>(given[k]) ^
                                        static_cast<unsigned char>(expectedByte));
  }
  return difference == 0;
}

}  // namespace reedchute::protocols::cassandra
