// aldervale: the model server on an agent's own box, and the origin of weights, where weights lie at the server in numbered pieces
//
// Pieces are put beside the server one by one; an order to start takes what lies there. The server checks nothing: who orders a start
// must have checked every piece. Its staging outlasts a crash of the server but not a loss of power.

#pragma once
#include "connection/http.h"

namespace aldervale
{

struct ServerReport
{
    uint32_t m_Running = 0;     // requests in the batch
    uint32_t m_Waiting = 0;     // requests taken, not yet in the batch
    double   m_Pace    = 1;     // over 1: that much slower than declared
    bool     m_Busy    = false; // an order is under way; it takes no new requests meanwhile
    uint64_t m_Orders  = 0;     // orders taken since its start
    uint64_t m_Weights = 0;     // version that it holds whole; 0: none
    int64_t  m_BornMs  = 0;     // when this lifetime of it began, Unix ms; 0: not told
};

struct StartOrder
{
    std::string m_Model;           //
    uint64_t    m_Version = 0;     //
    bool        m_Cut     = false; // cut off what runs; otherwise it finishes first
    uint64_t    m_Orders  = 0;     // the server's m_Orders as last seen: another value refuses the order
};

struct StopOrder
{
    std::string m_Model;           //
    uint64_t    m_Version = 0;     // that it holds
    uint64_t    m_Orders  = 0;     // as in StartOrder
    bool        m_Cut     = false; // as in StartOrder
};

enum StartOutcome // also of a StopOrder
{
    StartOutcome_Begun,   //
    StartOutcome_Holds,   // nothing to do
    StartOutcome_Refused, // it doesn't fit the server's state; nothing was begun
    StartOutcome_Unknown, // no answer: it may have been taken
};

// Stop() has the server begin no request any more: what runs ends, what waits is refused, and then it holds no weights until a version is started.
class ModelServer
{
public:
    virtual ~ModelServer()                                                                                                                = default;
    virtual awaitable<Result<ServerReport>>          Report(TimePoint deadline)                                                           = 0;
    virtual awaitable<StartOutcome>                  Start(StartOrder order, TimePoint deadline)                                          = 0;
    virtual awaitable<StartOutcome>                  Stop(StopOrder order, TimePoint deadline)                                            = 0;
    virtual awaitable<Status>                        PutPiece(std::string model, uint32_t n, std::span<const uint8_t> bytes, TimePoint d) = 0;
    virtual awaitable<Result<std::vector<uint8_t>>>  GetPiece(std::string model, uint32_t n, TimePoint deadline) = 0; // NotFound: none lies there
    virtual awaitable<Result<std::vector<uint32_t>>> ListPieces(std::string model, TimePoint deadline)           = 0;
};

struct PieceList // of one version
{
    uint64_t                 m_Version    = 0; //
    uint32_t                 m_PieceBytes = 0;
    std::vector<std::string> m_Digests; // SHA-256 of each piece, hex
};

constexpr uint64_t kNewestVersion = 0; // the newest one that the origin knows to be declared

class PieceOrigin
{
public:
    virtual ~PieceOrigin()                                                                                              = default;
    virtual awaitable<Result<PieceList>> ReadList(Endpoint at, std::string model, uint64_t version, TimePoint deadline) = 0; // or kNewestVersion
    // `keep`: another piece will be read soon; else the connection is closed, for the origin takes few from all boxes together.
    virtual awaitable<Result<std::vector<uint8_t>>> ReadPiece(Endpoint at, std::string model, uint64_t version, uint32_t n, bool keep,
                                                              TimePoint deadline) = 0;
};

} // namespace aldervale
