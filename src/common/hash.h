// aldervale: hashes, random numbers and rendezvous choice, all from libraries (OpenSSL, xxHash, PCG)
//
// Usage:
//   Digest d = Sha256(bytes);
//   std::vector<size_t> order = RendezvousOrder("key", names);      // most preferred first; the same in every process

#pragma once
#include <array>
#include <cstdint>
#include <pcg_random.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace aldervale
{

using Digest = std::array<uint8_t, 32>;
using Random = pcg64;

Digest      Sha256(std::span<const uint8_t> bytes);
Digest      Sha256(std::string_view text);
std::string ToHex(std::span<const uint8_t> bytes);      // lower case
bool        FromHex(std::string_view hex, Digest& out); // false unless exactly 64 hex digits
uint64_t    Hash64(std::string_view text, uint64_t seed = 0);
uint64_t    RandomSeed(); // from the system's random device; only shells call it

std::vector<size_t> RendezvousOrder(std::string_view key, std::span<const std::string> names);
size_t              RendezvousRank(std::string_view key, std::span<const std::string> names, std::string_view self); // place of self in that order
size_t              RendezvousFirst(std::string_view key, std::span<const std::string> names);                       // names must not be empty

} // namespace aldervale
