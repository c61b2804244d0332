// aldervale: hash of a prompt's prefix, by which engines identify prompts in their cache events: XXH3 over the first kPrefixBytes bytes
#pragma once
#include "common/hash.h"

namespace aldervale
{

constexpr size_t kPrefixBytes = 256;

inline uint64_t PrefixHash(std::string_view prompt) // 0: the prompt is too short to be worth caching; 53 bits, which a JSON number holds exactly
{
    return prompt.size() < kPrefixBytes ? 0 : Hash64(prompt.substr(0, kPrefixBytes)) >> 11;
}

} // namespace aldervale
