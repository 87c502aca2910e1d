#include "ledger/chain_mac.h"

#include <openssl/evp.h>
#include <openssl/params.h>

#include <stdexcept>

#include "ledger/log_frame.h"

namespace reedchute::ledger {
namespace {

const unsigned char* bytesOf(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

struct ChainMac::KeyedContext {
  EVP_MAC* mac = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
  EVP_MAC_CTX* context = EVP_MAC_CTX_new(mac);
  KeyedContext() = default;
  ~KeyedContext() {
    EVP_MAC_CTX_free(context);
    EVP_MAC_free(mac);
  }
  KeyedContext(const KeyedContext&) = delete;
  KeyedContext& operator=(const KeyedContext&) = delete;
};

ChainMac::ChainMac(const std::string& key) : context_(std::make_unique<KeyedContext>()) {
  char digest[] = "SHA256";
  OSSL_PARAM parameters[] = {OSSL_PARAM_construct_utf8_string("digest", digest, 0),
                             OSSL_PARAM_construct_end()};
  if (EVP_MAC_init(context_->context, bytesOf(key), key.size(), parameters) != 1)
    throw std::runtime_error("HMAC-SHA256 can't be initialized with this key");
}

ChainMac::~ChainMac() = default;

std::string ChainMac::next(std::string_view previous, std::string_view payload) const {
  unsigned char mac[EVP_MAX_MD_SIZE];
  std::size_t size = 0;
  EVP_MAC_CTX* context = context_->context;
  EVP_MAC_init(context, nullptr, 0, nullptr);
  EVP_MAC_update(context, bytesOf(previous), previous.size());
  EVP_MAC_update(context, bytesOf(payload), payload.size());
  EVP_MAC_final(context, mac, &size, sizeof mac);
  return {reinterpret_cast<char*>(mac), kFrameMacBytes};
}

std::string ChainMac::initial() {
  return std::string(kFrameMacBytes, '\0');
}

}  // namespace reedchute::ledger
