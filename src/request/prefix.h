// aldervale: the hash of a prompt's prefix, as engines name it in their cache events: XXH3 over the first kPrefixBytes bytes
#pragma once
#include "common/hash.h"

namespace aldervale
{

constexpr size_t kPrefixBytes = 256;

inline uint64_t PrefixHash(std::string_view prompt) // 0: too short to be worth caching; 53 bits, so that JSON carries it exactly
{
    return prompt.size() < kPrefixBytes ? 0 : Hash64(prompt.substr(0, kPrefixBytes)) >> 11;
}

} // namespace aldervale
