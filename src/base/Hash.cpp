#include "base/Hash.h"

#include <array>
#include <cassert>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <xxhash.h>

namespace apricottrack {

namespace {

std::string
ToHex(const unsigned char* aBytes, std::size_t aSize)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(aSize * 2);
  for (std::size_t i = 0; i < aSize; ++i) {
    text.push_back(kDigits[aBytes[i] >> 4]);
    text.push_back(kDigits[aBytes[i] & 15]);
  }
  return text;
}

} // namespace

std::string
Sha256Hex(std::string_view aBytes)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(
    aBytes.data(), aBytes.size(), digest.data(), &size, EVP_sha256(), nullptr);
  return ToHex(digest.data(), size);
}

bool
EqualConstantTime(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::uint64_t
StableHash(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH64(aBytes.data(), aBytes.size(), aSeed);
}

std::string
RandomId()
{
  std::array<unsigned char, 8> bytes{};
  [[maybe_unused]] const int filled =
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
  assert(filled == 1);
  return ToHex(bytes.data(), bytes.size());
}

} // namespace apricottrack
