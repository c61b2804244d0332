// The operators' table as held: it never goes back, rows that are gone stay away, holders of one version hold the same, cut text is refused.
#include "common/hash.h"
#include "process/operator_rows.h"
#include "support.h"
#include <algorithm>
#include <set>

using namespace aldervale;

namespace
{

constexpr size_t kKeys      = 6;  // in histories: few, so that each changes several times
constexpr int    kTextTries = 60; // of random bytes

Row Written(std::string key, std::string value, uint64_t version)
{
    return {std::move(key), std::move(value), version, false};
}

Row Gone(std::string key, uint64_t version)
{
    return {std::move(key), {}, version, true};
}

RowRead ReadOf(std::vector<Row> rows, uint64_t store_version)
{
    return {std::move(rows), store_version};
}

std::map<std::string, std::string> ValuesOf(const OperatorRows& rows)
{
    std::map<std::string, std::string> out;
    for (const Row& row : rows.Read().m_Rows)
        out[row.m_Key] = row.m_Value;
    return out;
}

bool SameRows(const OperatorRows& a, const OperatorRows& b)
{
    return a.Version() == b.Version() && ValuesOf(a) == ValuesOf(b) && a.Encode() == b.Encode();
}

// All that a store has done to a table: each entry has the next store version. Other tables' changes take versions, too.
class History
{
public:
    void Change(std::string key, std::string value) { m_Changes.push_back(Written(std::move(key), std::move(value), ++m_Version)); }
    void Drop(std::string key) { m_Changes.push_back(Gone(std::move(key), ++m_Version)); }
    void ChangeElsewhere() { m_Version++; }

    uint64_t Version() const { return m_Version; }

    RowRead Whole(uint64_t at) const // as it was at a store version
    {
        std::map<std::string, Row> rows;
        for (const Row& row : m_Changes)
        {
            if (row.m_Version > at)
                break;
            if (row.m_Gone)
                rows.erase(row.m_Key);
            else
                rows[row.m_Key] = row;
        }
        RowRead out;
        out.m_StoreVersion = at;
        for (const auto& [key, row] : rows)
            out.m_Rows.push_back(row);
        return out;
    }

    RowRead Changes(uint64_t since, uint64_t at) const // every version of a row
    {
        RowRead out;
        out.m_StoreVersion = at;
        for (const Row& row : m_Changes)
            if (row.m_Version > since && row.m_Version <= at)
                out.m_Rows.push_back(row);
        return out;
    }

    RowRead Folded(uint64_t since, uint64_t at) const // only the newest version of a row, in order
    {
        const RowRead all = Changes(since, at);
        RowRead       out;
        out.m_StoreVersion = at;
        for (size_t i = 0; i < all.m_Rows.size(); i++)
        {
            const auto later = [&](const Row& row) { return row.m_Key == all.m_Rows[i].m_Key; };
            if (std::none_of(all.m_Rows.begin() + static_cast<long>(i) + 1, all.m_Rows.end(), later))
                out.m_Rows.push_back(all.m_Rows[i]);
        }
        return out;
    }

private:
    std::vector<Row> m_Changes;     // in order
    uint64_t         m_Version = 0; //
};

// Of a process: reads as a follower of the store does, from the version up to which it knows everything.
struct Holder
{
    OperatorRows m_Rows;
    uint64_t     m_Since = 0;

    void TakeWhole(const History& history, uint64_t at)
    {
        if (at < m_Since)
            return; // an answer that lags behind what was seen: the follower drops it
        m_Rows.TakeAll(history.Whole(at));
        m_Since = at;
    }

    void TakeChanges(const History& history, uint64_t at, bool folded)
    {
        if (at < m_Since)
            return;
        m_Rows.TakeChanges(folded ? history.Folded(m_Since, at) : history.Changes(m_Since, at));
        m_Since = at;
    }

    void TakeFrom(const Holder& other)
    {
        if (m_Rows.TakeCopy(OperatorRows::Decode(other.m_Rows.Encode()).value()))
            m_Since = std::max(m_Since, m_Rows.Version()); // reading goes on after it
    }
};

History AnyHistory(bool drops)
{
    History      out;
    const size_t n = *rc::gen::inRange<size_t>(1, 40);
    for (size_t i = 0; i < n; i++)
    {
        const std::string key  = "key-" + std::to_string(*rc::gen::inRange<size_t>(0, kKeys));
        const int         what = *rc::gen::inRange(0, 10);
        if (what == 0)
            out.ChangeElsewhere();
        else if (what <= 2 && drops)
            out.Drop(key);
        else
            out.Change(key, *rc::gen::arbitrary<std::string>());
    }
    return out;
}

OperatorRows AnyRows()
{
    OperatorRows  rows;
    const History history = AnyHistory(true);
    rows.TakeChanges(history.Changes(0, history.Version()));
    return rows;
}

} // namespace

BOOST_AUTO_TEST_CASE(only_a_newer_whole_read_is_taken)
{
    OperatorRows rows;
    BOOST_TEST(!rows.TakeAll(ReadOf({}, 9)));
    BOOST_TEST(rows.Version() == 0u);
    BOOST_TEST(rows.TakeAll(ReadOf({Written("a", "1", 3), Written("b", "1", 5)}, 9)));
    BOOST_TEST(rows.Version() == 5u); // of the rows, not of the store: other tables count there
    BOOST_TEST(!rows.TakeAll(ReadOf({Written("a", "old", 3)}, 4)));
    BOOST_TEST(!rows.TakeAll(ReadOf({Written("a", "other", 5), Written("b", "other", 5)}, 12)));
    BOOST_TEST(ValuesOf(rows).at("a") == "1");
    BOOST_TEST(rows.TakeAll(ReadOf({Written("b", "2", 6)}, 12)));
    BOOST_TEST(ValuesOf(rows).size() == 1u); // "a" went meanwhile
    BOOST_TEST(rows.Version() == 6u);
}

BOOST_AUTO_TEST_CASE(changes_replace_add_and_drop)
{
    OperatorRows rows;
    rows.TakeAll(ReadOf({Written("a", "1", 1), Written("b", "1", 2)}, 2));
    BOOST_TEST(rows.TakeChanges(ReadOf({Written("a", "2", 3), Written("c", "1", 4), Written("a", "3", 5), Gone("b", 6)}, 6)));
    BOOST_TEST(ValuesOf(rows).at("a") == "3");
    BOOST_TEST(ValuesOf(rows).at("c") == "1");
    BOOST_TEST(ValuesOf(rows).count("b") == 0u);
    BOOST_TEST(rows.Version() == 6u); // a row that went counts
    BOOST_TEST(!rows.TakeChanges(ReadOf({}, 20)));
    BOOST_TEST(!rows.TakeChanges(ReadOf({Written("a", "2", 3)}, 20)));
    BOOST_TEST(!rows.TakeChanges(ReadOf({Written("b", "1", 2)}, 20))); // from before it went
    BOOST_TEST(rows.Version() == 6u);
    BOOST_TEST(ValuesOf(rows).at("a") == "3");
    BOOST_TEST(ValuesOf(rows).count("b") == 0u);
    BOOST_TEST(rows.TakeChanges(ReadOf({Written("b", "back", 21)}, 21)));
    BOOST_TEST(ValuesOf(rows).at("b") == "back");
}

BOOST_AUTO_TEST_CASE(changes_that_overlap_what_is_held_do_not_take_it_back)
{
    OperatorRows rows;
    rows.TakeAll(ReadOf({Written("a", "new", 7)}, 7));
    BOOST_TEST(rows.TakeChanges(ReadOf({Written("a", "old", 4), Written("b", "1", 8)}, 8)));
    BOOST_TEST(ValuesOf(rows).at("a") == "new");
    BOOST_TEST(rows.TakeChanges(ReadOf({Gone("a", 5), Written("a", "new", 7), Written("c", "1", 9)}, 9))); // it went before it was written anew
    BOOST_TEST(ValuesOf(rows).at("a") == "new");
    BOOST_TEST(ValuesOf(rows).size() == 3u);
}

BOOST_AUTO_TEST_CASE(a_copy_is_taken_whole_if_it_is_newer)
{
    OperatorRows rows, newer, same;
    rows.TakeAll(ReadOf({Written("a", "1", 1), Written("b", "1", 2)}, 2));
    same.TakeAll(ReadOf({Written("z", "1", 2)}, 2));
    newer.TakeAll(ReadOf({Written("a", "2", 3)}, 3));
    BOOST_TEST(!rows.TakeCopy(OperatorRows()));
    BOOST_TEST(!rows.TakeCopy(same));
    BOOST_TEST(ValuesOf(rows).at("b") == "1");
    BOOST_TEST(rows.TakeCopy(newer));
    BOOST_TEST(SameRows(rows, newer));
    BOOST_TEST(!newer.TakeCopy(rows));
}

BOOST_AUTO_TEST_CASE(what_is_held_never_goes_back)
{
    ALDERVALE_PROPERTY("reads and changes in any order, late ones too, never lower the version, and false means that nothing changed",
                       []
                       {
                           const History history = AnyHistory(true);
                           OperatorRows  rows;
                           const int     steps = *rc::gen::inRange(1, 30);
                           for (int i = 0; i < steps; i++)
                           {
                               const uint64_t    before = rows.Version();
                               const std::string text   = rows.Encode();
                               const uint64_t    since  = *rc::gen::inRange<uint64_t>(0, history.Version() + 1);
                               const uint64_t    at     = *rc::gen::inRange<uint64_t>(since, history.Version() + 1);
                               const int         kind   = *rc::gen::inRange(0, 3);
                               OperatorRows      copy;
                               copy.TakeAll(history.Whole(at));
                               const bool newer = kind == 0   ? rows.TakeAll(history.Whole(at))
                                                  : kind == 1 ? rows.TakeChanges(history.Changes(since, at))
                                                              : rows.TakeCopy(copy);
                               RC_ASSERT(newer == (rows.Version() > before));
                               RC_ASSERT(rows.Version() >= before);
                               const bool as_it_was = newer || rows.Encode() == text;
                               RC_ASSERT(as_it_was);
                           }
                       });
}

// Rows that never go: the operators' table has only such ones, and whole reads can be told apart by their newest row.
BOOST_AUTO_TEST_CASE(holders_of_one_version_hold_the_same)
{
    ALDERVALE_PROPERTY("holders fed by whole reads, changes and copies of one history in any order hold the same at the same version",
                       []
                       {
                           const History       history = AnyHistory(false);
                           std::vector<Holder> holders(3);
                           const int           steps = *rc::gen::inRange(1, 40);
                           for (int i = 0; i < steps; i++)
                           {
                               Holder&        h    = holders[*rc::gen::inRange<size_t>(0, holders.size())];
                               const uint64_t at   = *rc::gen::inRange<uint64_t>(0, history.Version() + 1);
                               const int      kind = *rc::gen::inRange(0, 4);
                               if (kind == 0)
                                   h.TakeWhole(history, at);
                               else if (kind == 3)
                                   h.TakeFrom(holders[*rc::gen::inRange<size_t>(0, holders.size())]);
                               else
                                   h.TakeChanges(history, at, kind == 2);
                               for (const Holder& a : holders)
                               {
                                   OperatorRows truth;
                                   truth.TakeAll(history.Whole(a.m_Rows.Version()));
                                   RC_ASSERT(SameRows(a.m_Rows, truth));
                               }
                           }
                       });
}

// Where rows go, changes tell of it, and so do copies.
BOOST_AUTO_TEST_CASE(holders_that_read_changes_hold_the_same_where_rows_go)
{
    ALDERVALE_PROPERTY("holders fed by changes and copies of one history in any order hold the same at the same version",
                       []
                       {
                           const History       history = AnyHistory(true);
                           std::vector<Holder> holders(3);
                           const int           steps = *rc::gen::inRange(1, 40);
                           for (int i = 0; i < steps; i++)
                           {
                               Holder&        h    = holders[*rc::gen::inRange<size_t>(0, holders.size())];
                               const uint64_t at   = *rc::gen::inRange<uint64_t>(0, history.Version() + 1);
                               const int      kind = *rc::gen::inRange(0, 3);
                               if (kind == 0)
                                   h.TakeFrom(holders[*rc::gen::inRange<size_t>(0, holders.size())]);
                               else
                                   h.TakeChanges(history, at, kind == 2);
                               for (const Holder& a : holders)
                                   for (const Holder& b : holders)
                                   {
                                       const bool agree = a.m_Rows.Version() != b.m_Rows.Version() || SameRows(a.m_Rows, b.m_Rows);
                                       RC_ASSERT(agree);
                                   }
                           }
                       });
}

BOOST_AUTO_TEST_CASE(rows_come_back_from_text)
{
    ALDERVALE_PROPERTY("decoded text holds the same rows, and they make the same text",
                       []
                       {
                           const OperatorRows rows = AnyRows();
                           const auto         back = OperatorRows::Decode(rows.Encode());
                           RC_ASSERT(back.has_value());
                           RC_ASSERT(SameRows(back.value(), rows));
                       });
    const auto empty = OperatorRows::Decode(OperatorRows().Encode());
    BOOST_REQUIRE(empty.has_value());
    BOOST_TEST(empty.value().Version() == 0u);
}

// Also one that ends between two rows: a table that lacks rows would else pass for the whole one of that version.
BOOST_AUTO_TEST_CASE(cut_text_is_refused)
{
    ALDERVALE_PROPERTY("no beginning of a text decodes, and none that is longer",
                       []
                       {
                           const std::string text = AnyRows().Encode();
                           for (size_t n = 0; n < text.size(); n++)
                               RC_ASSERT(!OperatorRows::Decode(std::string_view(text).substr(0, n)));
                           RC_ASSERT(!OperatorRows::Decode(text + *rc::gen::nonEmpty<std::string>()));
                       });
}

BOOST_AUTO_TEST_CASE(garbage_is_refused_or_decodes_to_what_it_says)
{
    ALDERVALE_PROPERTY("any bytes with a small number of rows are refused or are exactly the text of what they decode to",
                       []
                       {
                           std::string text(24, '\0');
                           text[8] = static_cast<char>(*rc::gen::inRange(0, 4));
                           text += *rc::gen::arbitrary<std::string>();
                           const auto got  = OperatorRows::Decode(text);
                           const bool fits = !got || got.value().Encode() == text;
                           RC_ASSERT(fits);
                       });
    ALDERVALE_PROPERTY("a text with one byte spoilt is refused or is exactly the text of what it decodes to",
                       []
                       {
                           std::string  text = AnyRows().Encode();
                           const size_t at   = *rc::gen::inRange<size_t>(0, text.size());
                           text[at]          = static_cast<char>(text[at] ^ *rc::gen::inRange(1, 256));
                           const auto got    = OperatorRows::Decode(text);
                           const bool fits   = !got || got.value().Encode() == text;
                           RC_ASSERT(fits);
                       });
    BOOST_TEST(!OperatorRows::Decode(""));
    BOOST_TEST(!OperatorRows::Decode(std::string(16, '\xff')));         // more rows than any text holds
    BOOST_TEST(!OperatorRows::Decode(std::string(8 + 8 + 24, '\xff'))); // lengths whose sum runs over
    Random rng(1);
    for (int i = 0; i < kTextTries; i++)
    {
        std::string text(rng() % 400, '\0');
        for (char& c : text)
            c = static_cast<char>(rng());
        BOOST_TEST(!OperatorRows::Decode(text)); // numbers of 64 random bits
    }
}

// The store answers a long table in pages, each as of its own moment; the whole counts as of its first one. Row "config" of 1 MB fills a page. If
// it and a row of the next page change between the two, the read holds the old one of the first and the new one of the second: version 12,
// without change 11. That change came once more with the changes since 10, and was refused, because none was newer than 12.
BOOST_AUTO_TEST_CASE(a_read_of_two_moments_does_not_hide_a_change_between_them)
{
    OperatorRows rows;
    BOOST_TEST(rows.TakeAll(ReadOf({Written("config", "at 10", 10), Written("weights", "at 12", 12)}, 10)));
    BOOST_TEST(rows.Version() == 10u);
    BOOST_TEST(rows.TakeChanges(ReadOf({Written("config", "at 11", 11), Written("weights", "at 12", 12)}, 12)));
    BOOST_TEST(ValuesOf(rows).at("config") == "at 11");
    BOOST_TEST(ValuesOf(rows).at("weights") == "at 12");
    BOOST_TEST(rows.Version() == 12u);
}

// An evacuation that ended while a router didn't follow the store went on there: a whole read has no newer row then, only one less.
BOOST_AUTO_TEST_CASE(a_row_that_went_away_is_seen_by_a_read_of_the_whole_table)
{
    History h;
    h.Change("config", "1");
    h.Change("evacuate/dc-1", "{}");
    OperatorRows rows;
    BOOST_TEST(rows.TakeAll(h.Whole(h.Version())));
    BOOST_TEST(!rows.TakeAll(h.Whole(h.Version())));
    h.ChangeElsewhere();
    BOOST_TEST(!rows.TakeAll(h.Whole(h.Version()))); // nothing went away
    const RowRead late = h.Whole(h.Version());
    h.Drop("evacuate/dc-1");
    h.ChangeElsewhere();
    BOOST_TEST(rows.TakeAll(h.Whole(h.Version())));
    BOOST_TEST(rows.Version() == h.Version());
    BOOST_TEST(ValuesOf(rows).size() == 1u);
    BOOST_TEST(!rows.TakeAll(late));
    OperatorRows other; // one that was told the change itself takes these rows as newer, and holds the same then
    other.TakeAll(late);
    other.TakeChanges(h.Changes(late.m_StoreVersion, h.Version()));
    BOOST_TEST(other.TakeCopy(rows));
    BOOST_TEST(SameRows(other, rows));
}
