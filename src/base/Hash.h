#ifndef APRICOTTRACK_BASE_HASH_H
#define APRICOTTRACK_BASE_HASH_H

#include <cstdint>
#include <string>
#include <string_view>

/// Hashing and random identifiers, over OpenSSL and xxHash.
namespace apricottrack {

/// Returns the SHA-256 of the bytes as 64 lower-case hexadecimal digits.
std::string
Sha256Hex(std::string_view aBytes);

/// Compares in a time that depends only on the sizes, which guards secrets
/// against timing attacks.
bool
EqualConstantTime(std::string_view aLeft, std::string_view aRight);

/// Returns a fast, non-cryptographic hash that is the same on all nodes and in
/// all versions.
std::uint64_t
StableHash(std::string_view aBytes, std::uint64_t aSeed = 0);

/// Returns sixteen hexadecimal digits from OpenSSL's cryptographic random
/// generator.
std::string
RandomId();

} // namespace apricottrack

#endif
