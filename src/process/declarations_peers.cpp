// Declarations between routers. See declarations_peers.h.
#include "process/declarations_peers.h"
#include "common/log.h"
#include "common/metrics.h"
#include "connection/text_delta.h"
#include "process/declarations_lag.h"

namespace aldervale
{

namespace
{

constexpr auto   kNoThrow      = asio::as_tuple(asio::use_awaitable);
constexpr auto   kFetchLook    = milliseconds(50);   // while behind, for a router that isn't avoided any more
constexpr auto   kFetchIdle    = seconds(1);         // while not behind: OnNews() ends it
constexpr auto   kConnectMax   = milliseconds(300);  // to a router; a region's links take some 3 ms
constexpr auto   kServeMax     = seconds(10);        // of a connection that was taken: askers close theirs after one answer
constexpr auto   kGoOnMax      = milliseconds(1000); // since versions were confirmed, for reading to go on after them: few are missed in that time
constexpr size_t kLinkQueueMax = kFrameMax;          // bytes queued to an asker that doesn't read: one answer
constexpr size_t kServingMax   = 64;                 // askers at once: all routers of a region of 300 boxes
constexpr size_t kDataMax      = kFrameMax - 4096;   // bytes of compressed rows in one frame; longer ones are left to the store
constexpr size_t kBoundsKept   = 32;                 // rows whose bounds are kept
constexpr auto   kRefineStep   = milliseconds(10);   // a smaller gain isn't worth telling all boxes
constexpr auto   kRefineMax    = milliseconds(1000); // after a row was learned: until then all that was answered before is told

uint32_t AgeMs(TimePoint now, TimePoint at)
{
    constexpr auto kOld = seconds(3600); // says as much as any longer one
    return static_cast<uint32_t>(ToMs(std::min<Duration>(now - at, kOld)));
}

size_t BytesOf(const RowRead& read)
{
    size_t bytes = 0;
    for (const Row& row : read.m_Rows)
        bytes += row.m_Value.size();
    return bytes;
}

} // namespace

DeclarationsPeers::DeclarationsPeers(asio::io_context& ioc, RouterName self, LoadListener& datagrams, StoreTimes& times, RowsHandler on_rows)
    : m_Ioc(ioc), m_Self(std::move(self)), m_Datagrams(datagrams), m_OnRows(std::move(on_rows)),
      m_DeclareSame([](const Row& a, const Row& b) { return a.m_Value == b.m_Value; }), m_Times(times), m_Spread(m_Self.m_Address, Now()), m_Wake(ioc)
{
    m_Datagrams.SetRegion(m_Self.m_Region);
    m_Datagrams.SetOnRouters([this](std::span<const RouterPeer> listed) { m_Spread.SetPeers(listed, Now()); });
    m_Datagrams.SetOnNews([this](const wire::DeclarationsNews& news, const Endpoint& from) { OnNews(news, from); });
}

Status DeclarationsPeers::Listen()
{
    auto acceptor = ListenTcp(m_Ioc.get_executor(), m_Self.m_Address);
    if (!acceptor)
        return acceptor.error();
    m_Acceptor.emplace(std::move(acceptor.value()));
    asio::co_spawn(
        m_Ioc, [this] { return AcceptLoop(); }, asio::detached);
    asio::co_spawn(
        m_Ioc, [this] { return TellLoop(); }, asio::detached);
    asio::co_spawn(
        m_Ioc, [this] { return FetchLoop(); }, asio::detached);
    return Ok();
}

//-----------------------------------------------------------------------------
// From the store
//-----------------------------------------------------------------------------

std::optional<uint64_t> DeclarationsPeers::HeldVersion() const
{
    const bool recent = m_Spread.Held() > 0 && Now() - m_Spread.CheckedAt() < kGoOnMax;
    return recent ? std::optional(m_Spread.Held()) : std::nullopt;
}

bool DeclarationsPeers::ReadsStore()
{
    const TimePoint now   = Now();
    const bool      reads = m_Spread.Reads(now);
    if (reads != m_Reading)
    {
        m_Reading = reads;
        LogReading(now);
    }
    return reads;
}

void DeclarationsPeers::LogReading(TimePoint now) const
{
    LogEvent(m_Reading ? Event_ReadingStarted : Event_ReadingRested, {{"lead", m_Spread.Lead()},
                                                                      {"rank", m_Spread.Rank()},
                                                                      {"peers_listed", m_Spread.PeersKnown()},
                                                                      {"peers", m_Spread.Peers()},
                                                                      {"held", m_Spread.Held()},
                                                                      {"heard", m_Spread.Heard()},
                                                                      {"checked_age_ms", AgeOrNever(m_Spread.CheckedAt(), now)},
                                                                      {"flow_age_ms", AgeOrNever(m_Spread.FlowAt(), now)}});
}

void DeclarationsPeers::OnBelief() const
{
    if (m_OnBelief)
        m_OnBelief();
}

void DeclarationsPeers::OnStoreRead(const RowRead& read, TableRead kind)
{
    const uint64_t held = m_Rows.Version();
    RecordBounds(read, kind);
    RefineBounds(Now());
    const bool newer = kind == TableRead_Whole ? m_Rows.TakeAll(read) : m_Rows.TakeChanges(read);
    if (read.m_StoreVersion >= m_Rows.Version()) // else it lags behind what others gave, and confirms nothing
        m_Spread.OnStoreAnswer(m_Rows.Version(), Now(), BytesOf(read));
    OnBelief();
    if (newer)
        Hold({{}, Now(), read.m_NotBefore, held, std::string(kFromStore)});
    else
        Tell(); // others count how long ago the store confirmed: by the next round of news it would be a quarter of a second more
}

// A row that was written again and declares the same keeps its bound, also an unknown one: it was declared then. Of changes each version of a row is
// read, but only the newest one is used: it may declare what an earlier one of the same read did, or leave out a version that the earlier one
// declared. So the bound of the first one that declares something new holds for all later ones of its key. Of a whole table only the newest is read,
// and the value may have been declared by any write after the version up to which all rows are held. When such a bound was the time of the last
// complete read, versions that were declared at the end of an outage counted from its beginning, and servers stopped seconds too early.
void DeclarationsPeers::RecordBounds(const RowRead& read, TableRead kind)
{
    struct Key
    {
        const Row*              m_Held = nullptr; // null: none is
        std::optional<RowBound> m_Changed;        // of the first row of the read that declares something else
    };
    const TimePoint                 now      = Now();
    const uint64_t                  complete = std::max(read.m_Since, m_Rows.Version()); // all rows up to it were known here
    std::map<std::string_view, Key> keys;                                                // of the read
    std::map<uint64_t, RowBound>    found;                                               // by row version
    for (const Row& row : read.m_Rows)
    {
        if (row.m_Gone || row.m_Version <= m_Rows.Version())
            continue;
        Key&           key   = keys.try_emplace(row.m_Key, Key{m_Rows.Find(row.m_Key), {}}).first->second;
        const bool     again = key.m_Held != nullptr && m_DeclareSame(*key.m_Held, row);
        const uint64_t after = kind == TableRead_Changes ? row.m_Version - 1 : complete;
        RowBound       bound = {read.m_NotBefore, {}, after};
        if (again)
            bound.m_NotBefore = WrittenSince(key.m_Held->m_Version).value_or(TimePoint{});
        else if (key.m_Changed)
            bound = *key.m_Changed;
        else if (after > 0)
            bound = {std::max(read.m_NotBefore, m_Times.NotBefore(after + 1, now)), now + kRefineMax, after};
        if (!again)
            key.m_Changed = bound;
        const auto [known, added] = found.emplace(row.m_Version, bound);
        if (!added) // rows of one transaction have the same version: the earliest of their bounds holds for all
            known->second = {std::min(known->second.m_NotBefore, bound.m_NotBefore), {}, after};
    }
    for (const auto& [row_version, bound] : found)
        RecordBound(row_version, bound);
}

// Each read gives a bound that holds, so the latest one counts.
void DeclarationsPeers::RecordBound(uint64_t row_version, const RowBound& bound)
{
    const auto [known, added] = m_Bounds.emplace(row_version, bound);
    if (!added && bound.m_NotBefore > known->second.m_NotBefore)
        known->second = bound;
    if (m_Bounds.size() > kBoundsKept)
        m_Bounds.erase(m_Bounds.begin());
}

void DeclarationsPeers::RefineBounds(TimePoint now)
{
    for (auto& [row_version, bound] : m_Bounds)
    {
        const TimePoint later = now < bound.m_RefinedUntil ? m_Times.NotBefore(bound.m_After + 1, now) : TimePoint{};
        if (later < bound.m_NotBefore + kRefineStep)
            continue;
        bound.m_NotBefore = later;
        if (m_OnBound)
            m_OnBound(row_version, later);
    }
}

std::optional<TimePoint> DeclarationsPeers::WrittenSince(uint64_t row_version) const
{
    const auto it = m_Bounds.find(row_version);
    return it == m_Bounds.end() ? std::nullopt : std::optional(it->second.m_NotBefore);
}

void DeclarationsPeers::OnFewRows(const RowRead& read)
{
    RecordBounds(read, TableRead_Few);
    RefineBounds(Now());
}

void DeclarationsPeers::OnStoreBack()
{
    m_Spread.OnStoreBack(Now());
    Tell();
}

void DeclarationsPeers::Hold(DeclaredRows news)
{
    m_LearnedAt = news.m_LearnedAt;
    m_Texts.push_back({m_Rows.Version(), m_Rows.Encode(), news.m_NotBefore});
    m_Compressed.clear();
    size_t bytes = 0;
    for (const Text& t : m_Texts)
        bytes += t.m_Text.size();
    while (m_Texts.size() > kTextsKept || (m_Texts.size() > 1 && bytes > kTextsKeptBytes))
    {
        bytes -= m_Texts.front().m_Text.size();
        m_Texts.pop_front();
    }
    Tell(); // before the rows are used here: others needn't wait for that
    news.m_Rows = m_Rows.Read();
    m_OnRows(news);
}

//-----------------------------------------------------------------------------
// News
//-----------------------------------------------------------------------------

wire::DeclarationsNewsT DeclarationsPeers::News(TimePoint now) const
{
    const SpreadNews        own = m_Spread.News(now);
    wire::DeclarationsNewsT news;
    news.name           = m_Self.m_Name;
    news.region         = m_Self.m_Region;
    news.version        = own.m_Version;
    news.checked_age_ms = AgeMs(now, now - own.m_CheckedAge);
    news.flow_age_ms    = AgeMs(now, now - own.m_FlowAge);
    news.reads          = own.m_Reads;
    news.rests          = own.m_Rests;
    news.store_version  = m_Times.Newest().m_Version;
    news.store_ms       = m_Times.Newest().m_StoreMs;
    return news;
}

void DeclarationsPeers::Tell()
{
    const TimePoint now = Now();
    if (!m_Spread.Tells(now))
        return;
    const wire::DeclarationsNewsT news = News(now);
    for (const Endpoint& to : m_Spread.Audience(now))
        m_Datagrams.Tell(to, news);
}

void DeclarationsPeers::Register(TimePoint now)
{
    if (m_Spread.Tells(now) || now - m_RegisteredAt < kRegisterEvery)
        return;
    m_RegisteredAt                     = now;
    const wire::DeclarationsNewsT news = News(now);
    for (const Endpoint& to : m_Spread.RegisterAt())
        m_Datagrams.Tell(to, news);
}

awaitable<void> DeclarationsPeers::TellLoop()
{
    for (;;)
    {
        Tell();
        Register(Now());
        co_await SleepFor(kNewsEvery);
    }
}

void DeclarationsPeers::OnNews(const wire::DeclarationsNews& news, const Endpoint& from)
{
    SpreadNews told;
    told.m_From         = from;
    told.m_Near         = news.region() != nullptr && news.region()->string_view() == m_Self.m_Region;
    told.m_Version      = news.version();
    told.m_CheckedAge   = milliseconds(news.checked_age_ms());
    told.m_FlowAge      = milliseconds(news.flow_age_ms());
    told.m_Reads        = news.reads();
    told.m_Rests        = news.rests();
    const TimePoint now = Now();
    m_Spread.OnNews(told, now);
    m_Times.OnTold({news.store_version(), news.store_ms()});
    RefineBounds(now);
    OnBelief();
    if (told.m_Version == 0 && m_Spread.Held() > 0) // it has just started
        m_Datagrams.Tell(from, News(now));
    if (m_Spread.Heard() > m_Spread.Held())
        m_Wake.cancel();
}

//-----------------------------------------------------------------------------
// Fetches from other routers
//-----------------------------------------------------------------------------

awaitable<void> DeclarationsPeers::FetchLoop()
{
    static Counter& failed = Metrics().GetCounter("aldervale_declarations_fetches_failed_total");
    for (;;)
    {
        const std::optional<Endpoint> from = m_Spread.FetchFrom(Now());
        if (!from)
        {
            m_Wake.expires_after(m_Spread.Heard() > m_Spread.Held() ? Duration(kFetchLook) : Duration(kFetchIdle));
            co_await m_Wake.async_wait(kNoThrow);
            continue;
        }
        const TimePoint asked = Now();
        const uint64_t  held  = m_Spread.Held();
        co_await Fetch(*from);
        const bool newer = m_Spread.Held() > held; // by this fetch, or from the store meanwhile
        if (newer)
            continue;
        const TimePoint now = Now();
        failed.Add(1);
        LogEvent(Event_DeclarationsNotFetched, {{"from", from->ToString()}, {"held", held}, {"heard", m_Spread.Heard()}, {"ms", ToMs(now - asked)}});
        m_Spread.OnFetchFailed(*from, now);
        co_await SleepFor(kFetchLook);
    }
}

awaitable<void> DeclarationsPeers::Fetch(Endpoint from)
{
    const TimePoint asked  = Now();
    auto            socket = co_await ConnectTcp(from, kConnectMax);
    if (!socket)
        co_return;
    const auto link = std::make_shared<Link>(std::move(socket.value()), LinkSide_Dialled, LinkConfig{}, LinkHandlers{});
    link->Start();
    const MailboxPtr       answer = link->OpenExchange(m_Ioc.get_executor());
    wire::DeclarationsGetT get;
    get.have = m_AskWhole ? 0 : m_Rows.Version();
    link->Send(EncodeFrame(answer->Id(), get));
    const TimePoint               until = Now() + m_Spread.FetchTimeout(from);
    const std::optional<FrameBuf> frame = co_await answer->Pop(until);
    link->Close();
    const wire::DeclarationsData* data = frame ? frame->Get()->body_as_DeclarationsData() : nullptr;
    if (data != nullptr)
        TakeData(*data, from, asked);
}

void DeclarationsPeers::TakeData(const wire::DeclarationsData& data, const Endpoint& from, TimePoint asked)
{
    static Counter& fetched = Metrics().GetCounter("aldervale_declarations_fetched_bytes_total");
    if (data.version() <= m_Rows.Version() || data.bytes() == nullptr)
        return;
    const Text*            base = data.base() == 0 ? nullptr : FindText(data.base()); // null for one that is unknown, too: the checksum then fails
    const std::string_view bytes(reinterpret_cast<const char*>(data.bytes()->data()), data.bytes()->size());
    const auto             text = ExpandText(bytes, base == nullptr ? std::string_view() : std::string_view(base->m_Text), data.length());
    const uint64_t         held = m_Rows.Version();
    auto                   copy = text ? OperatorRows::Decode(text.value()) : Result<OperatorRows>(text.error());
    m_AskWhole                  = false;
    const bool taken            = copy && copy.value().Version() == data.version() && m_Rows.TakeCopy(copy.value());
    if (!taken)
    {
        m_AskWhole = true; // a difference to other rows than are held here would be so again
        LogEvent(Event_DeclarationsSpoilt, {{"from", from.ToString()}, {"version", data.version()}, {"base", data.base()}, {"bytes", bytes.size()}});
        return;
    }
    fetched.Add(bytes.size());
    const TimePoint now = Now();
    m_Spread.OnFetched(data.version(), now - milliseconds(data.checked_age_ms()), now);
    OnBelief();
    // A bound: what the answer took counts against it, and so does what the age was rounded down by.
    const auto      bound      = [&](int32_t age_ms) { return age_ms < 0 ? TimePoint{} : asked - milliseconds(age_ms + 1); };
    const TimePoint not_before = bound(data.not_before_age_ms());
    if (data.row_bounds() != nullptr)
        for (const wire::RowBound* b : *data.row_bounds())
            RecordBound(b->version(), {bound(b->not_before_age_ms()), {}, 0});
    Hold({{}, now - milliseconds(data.learned_age_ms()), not_before, held, from.ToString()});
}

//-----------------------------------------------------------------------------
// Fetches by other routers
//-----------------------------------------------------------------------------

awaitable<void> DeclarationsPeers::AcceptLoop()
{
    for (;;)
    {
        auto [ec, socket] = co_await m_Acceptor->async_accept(kNoThrow);
        if (ec == asio::error::operation_aborted || ec == asio::error::bad_descriptor)
            co_return;
        if (ec || m_Serving >= kServingMax)
        {
            co_await SleepFor(kFetchLook); // descriptors are short, or many ask; askers have others to go to
            continue;
        }
        LinkConfig cfg;
        cfg.m_SendQueueMax = kLinkQueueMax;
        LinkHandlers h;
        h.m_OnFrame = [this](const LinkPtr& link, const FrameBuf& frame) { Serve(link, frame); };
        h.m_OnClose = [this](const LinkPtr&) { m_Serving--; };
        m_Serving++;
        const auto link = std::make_shared<Link>(std::move(socket), LinkSide_Accepted, cfg, std::move(h));
        link->Start();
        const auto limit = std::make_shared<asio::steady_timer>(m_Ioc, kServeMax);
        limit->async_wait(
            [limit, weak = std::weak_ptr<Link>(link)](boost::system::error_code)
            {
                if (const LinkPtr open = weak.lock())
                    open->Close();
            });
    }
}

void DeclarationsPeers::Serve(const LinkPtr& link, const FrameBuf& frame)
{
    const wire::DeclarationsGet* get = frame.Get()->body_as_DeclarationsGet();
    if (get != nullptr)
        link->Send(DataFor(frame.Get()->exchange(), get->have()));
    if (frame.Get()->body_as_ServersAsk() != nullptr && m_OnServersAsked)
        link->Send(m_OnServersAsked(frame.Get()->exchange()));
}

FrameBytes DeclarationsPeers::DataFor(uint64_t exchange, uint64_t have)
{
    const TimePoint         now = Now();
    wire::DeclarationsDataT data;
    data.checked_age_ms = AgeMs(now, m_Spread.CheckedAt());
    data.learned_age_ms = AgeMs(now, m_LearnedAt);
    if (m_Texts.empty() || have >= m_Texts.back().m_Version)
        return EncodeFrame(exchange, data);
    const Text*     base       = FindText(have);
    const TimePoint not_before = NotBeforeAfter(have);
    if (not_before != TimePoint{})
        data.not_before_age_ms = static_cast<int32_t>(AgeMs(now, not_before));
    for (auto it = m_Bounds.upper_bound(have); it != m_Bounds.end(); ++it)
    {
        wire::RowBoundT b;
        b.version           = it->first;
        b.not_before_age_ms = it->second.m_NotBefore == TimePoint{} ? -1 : static_cast<int32_t>(AgeMs(now, it->second.m_NotBefore));
        data.row_bounds.push_back(std::make_unique<wire::RowBoundT>(std::move(b)));
    }
    data.version       = m_Texts.back().m_Version;
    data.base          = base == nullptr ? 0 : have;
    data.length        = static_cast<uint32_t>(m_Texts.back().m_Text.size());
    std::string& bytes = m_Compressed[data.base]; // most askers hold the same version
    if (bytes.empty())
        bytes = CompressText(m_Texts.back().m_Text, base == nullptr ? std::string_view() : std::string_view(base->m_Text));
    if (bytes.size() > kDataMax)
        return EncodeFrame(exchange, wire::DeclarationsDataT{});
    data.bytes.assign(bytes.begin(), bytes.end());
    return EncodeFrame(exchange, data);
}

TimePoint DeclarationsPeers::NotBeforeAfter(uint64_t version) const
{
    const auto newer = std::find_if(m_Texts.begin(), m_Texts.end(), [&](const Text& t) { return t.m_Version > version; });
    return FindText(version) == nullptr || newer == m_Texts.end() ? TimePoint{} : newer->m_NotBefore;
}

const DeclarationsPeers::Text* DeclarationsPeers::FindText(uint64_t version) const
{
    const auto it = std::find_if(m_Texts.begin(), m_Texts.end(), [&](const Text& t) { return t.m_Version == version; });
    return it == m_Texts.end() ? nullptr : &*it;
}

} // namespace aldervale
