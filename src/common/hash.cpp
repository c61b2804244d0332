// Hashes and rendezvous choice. See hash.h.
#include "common/hash.h"
#include <algorithm>
#include <boost/assert.hpp>
#include <numeric>
#include <openssl/evp.h>
#include <random>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace aldervale
{

Digest Sha256(std::span<const uint8_t> bytes)
{
    Digest   out{};
    unsigned len = 0;
    EVP_Digest(bytes.data(), bytes.size(), out.data(), &len, EVP_sha256(), nullptr);
    return out;
}

Digest Sha256(std::string_view text)
{
    return Sha256(std::span(reinterpret_cast<const uint8_t*>(text.data()), text.size()));
}

std::string ToHex(std::span<const uint8_t> bytes)
{
    constexpr char kDigits[] = "0123456789abcdef";
    std::string    out;
    out.reserve(bytes.size() * 2);
    for (const uint8_t b : bytes)
    {
        out.push_back(kDigits[b >> 4]);
        out.push_back(kDigits[b & 15]);
    }
    return out;
}

static int HexValue(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    return -1;
}

bool FromHex(std::string_view hex, Digest& out)
{
    if (hex.size() != out.size() * 2)
        return false;
    for (size_t i = 0; i < out.size(); i++)
    {
        const int hi = HexValue(hex[2 * i]);
        const int lo = HexValue(hex[2 * i + 1]);
        if (hi < 0 || lo < 0)
            return false;
        out[i] = static_cast<uint8_t>(hi * 16 + lo);
    }
    return true;
}

uint64_t Hash64(std::string_view text, uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

uint64_t RandomSeed()
{
    std::random_device dev;
    return (static_cast<uint64_t>(dev()) << 32) | dev();
}

std::vector<size_t> RendezvousOrder(std::string_view key, std::span<const std::string> names)
{
    const uint64_t        seed = Hash64(key);
    std::vector<uint64_t> score(names.size());
    for (size_t i = 0; i < names.size(); i++)
        score[i] = Hash64(names[i], seed);
    std::vector<size_t> order(names.size());
    std::iota(order.begin(), order.end(), size_t{0});
    std::sort(order.begin(), order.end(), [&](size_t a, size_t b) { return score[a] != score[b] ? score[a] > score[b] : names[a] < names[b]; });
    return order;
}

size_t RendezvousRank(std::string_view key, std::span<const std::string> names, std::string_view self)
{
    const uint64_t seed = Hash64(key);
    const uint64_t own  = Hash64(self, seed);
    size_t         rank = 0;
    for (const std::string& name : names)
    {
        const uint64_t score = Hash64(name, seed);
        rank += score > own || (score == own && name < self) ? 1 : 0;
    }
    return rank;
}

size_t RendezvousFirst(std::string_view key, std::span<const std::string> names)
{
    BOOST_ASSERT_MSG(!names.empty(), "RendezvousFirst() needs at least one name");
    const uint64_t seed = Hash64(key);
    size_t         best = 0;
    for (size_t i = 1; i < names.size(); i++)
    {
        const uint64_t a = Hash64(names[i], seed);
        const uint64_t b = Hash64(names[best], seed);
        if (a > b || (a == b && names[i] < names[best]))
            best = i;
    }
    return best;
}

} // namespace aldervale
