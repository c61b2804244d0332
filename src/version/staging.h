// aldervale: staging, the bounded memory that holds verified chunks
//
// Chunks are stored once per digest, so versions share equal chunks (a new version costs only the chunks that differ). A version reserves
// the bytes that are missing before it fetches anything. A version that doesn't fit is refused; nothing is evicted for it. Only verified
// bytes are stored. Thread-safe: the map of chunks is split into stripes, each under its own lock.
//
// Usage:
//   Status s = staging.Reserve(manifest);                 // ErrorCode_Limited: the version doesn't fit
//   bool good = staging.Put(digest, std::move(bytes));    // false: the bytes don't match the digest
//   ChunkBytes c = staging.Get(digest);                   // null if absent
//   staging.Release(manifest);                            // frees the chunks that no other version uses

#pragma once
#include "version/manifest.h"
#include <array>
#include <map>
#include <mutex>

namespace aldervale
{

using ChunkBytes = std::shared_ptr<const std::vector<uint8_t>>;

class Staging
{
public:
    explicit Staging(uint64_t max_bytes) : m_MaxBytes(max_bytes) {}

    Status     Reserve(const Manifest& m);
    void       Release(const Manifest& m);
    bool       Put(const Digest& d, std::vector<uint8_t> bytes); // true also if the chunk was stored before, or isn't reserved
    ChunkBytes Get(const Digest& d) const;
    bool       Has(const Digest& d) const { return Get(d) != nullptr; }
    uint64_t   ReservedBytes() const;
    uint64_t   MaxBytes() const { return m_MaxBytes; }

private:
    struct Entry
    {
        ChunkBytes m_Bytes;        // null until Put()
        unsigned   m_Versions = 0; // versions that reserved it; the entry is removed with the last one
    };

    struct Stripe
    {
        mutable std::mutex      m_Mutex; // guards m_Entries
        std::map<Digest, Entry> m_Entries;
    };

    static constexpr size_t kStripes = 16;

    Stripe&       StripeOf(const Digest& d) { return m_Stripes[d[0] % kStripes]; }
    const Stripe& StripeOf(const Digest& d) const { return m_Stripes[d[0] % kStripes]; }

    std::array<Stripe, kStripes> m_Stripes;           //
    uint64_t                     m_MaxBytes;          //
    mutable std::mutex           m_ReserveMutex;      // guards m_ReservedBytes and serializes Reserve() and Release()
    uint64_t                     m_ReservedBytes = 0; // of all entries, filled or not; invariant: <= m_MaxBytes
};

} // namespace aldervale
