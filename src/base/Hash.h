#ifndef APRICOTTRACK_BASE_HASH_H
#define APRICOTTRACK_BASE_HASH_H

#include <cstdint>
#include <string>
#include <string_view>

/// Hashing and random identifiers, over OpenSSL and xxHash.
namespace apricottrack {

/// SHA-256 of the bytes, as 64 lower-case hexadecimal digits.
std::string
Sha256Hex(std::string_view aBytes);

/// Compares without a data-dependent running time.
bool
EqualConstantTime(std::string_view aLeft, std::string_view aRight);

/// A fast, stable, non-cryptographic hash; equal on every node.
std::uint64_t
StableHash(std::string_view aBytes, std::uint64_t aSeed = 0);

/// Sixteen hexadecimal digits from the system's random generator.
std::string
RandomId();

} // namespace apricottrack

#endif
