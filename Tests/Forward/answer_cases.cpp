#include "answer_cases.h"

#include <string_view>

namespace quetzalcleat::test {

const std::string answerIdentity = "X-Request-Id: r1\r\nX-Signature: s\r\n";

namespace {

/// An answer that is sound but for its status line.
std::string withStatusLine(const std::string &line)
{
    return line + "\r\n" + answerIdentity + "Content-Length: 2\r\n\r\nok";
}

/// An answer that is sound but for one of its field lines.
std::string withField(const std::string &line)
{
    return "HTTP/1.1 200 OK\r\n" + answerIdentity + line + "\r\nContent-Length: 2\r\n\r\nok";
}

std::string withBody(const std::string &framing, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\n" + answerIdentity + framing + "\r\n" + body;
}

const std::string chunked = "Transfer-Encoding: chunked\r\n";

} // namespace

std::ostream &operator<<(std::ostream &stream, const answer_case &entry)
{
    return stream << entry.name;
}

std::vector<answer_case> brokenStatusLines()
{
    return {
        {"Status000", withStatusLine("HTTP/1.1 000 OK"), "status_line"},
        {"Status099", withStatusLine("HTTP/1.1 099 OK"), "status_line"},
        {"Status600", withStatusLine("HTTP/1.1 600 OK"), "status_line"},
        {"Status999", withStatusLine("HTTP/1.1 999 OK"), "status_line"},
        {"StatusOfTwoDigits", withStatusLine("HTTP/1.1 20 OK"), "status_line"},
        {"StatusOfFourDigits", withStatusLine("HTTP/1.1 0200 OK"), "status_line"},
        {"StatusWithLetters", withStatusLine("HTTP/1.1 2x0 OK"), "status_line"},
        {"StatusWithSign", withStatusLine("HTTP/1.1 +20 OK"), "status_line"},
        {"StatusMissing", withStatusLine("HTTP/1.1 "), "status_line"},
        {"StatusRunsIntoTheReason", withStatusLine("HTTP/1.1 200OK"), "status_line"},
        {"TwoSpaces", withStatusLine("HTTP/1.1  200 OK"), "status_line"},
        {"ControlByteInTheReason", withStatusLine("HTTP/1.1 200 O\x01K"), "status_line"},
        {"CarriageReturnInTheReason", withStatusLine("HTTP/1.1 200 O\rK"), "status_line"},
        {"NulInTheReason", withStatusLine(std::string("HTTP/1.1 200 O\0K", 16)), "status_line"},
        {"Version09", withStatusLine("HTTP/0.9 200 OK"), "status_line"},
        {"Version20", withStatusLine("HTTP/2.0 200 OK"), "status_line"},
        {"VersionOfTwoDigits", withStatusLine("HTTP/1.10 200 OK"), "status_line"},
        {"OtherProtocol", withStatusLine("ICY 200 OK"), "status_line"},
        {"LowerCaseProtocol", withStatusLine("http/1.1 200 OK"), "status_line"},
        {"EmptyLineBefore", "\r\n" + withStatusLine("HTTP/1.1 200 OK"), "status_line"},
        {"UnrequestedUpgrade",
         "HTTP/1.1 101 Switching Protocols\r\n\r\n" + withStatusLine("HTTP/1.1 200 OK"),
         "status_line"},
        {"BrokenAfterInterim",
         "HTTP/1.1 102 Processing\r\n\r\n" + withStatusLine("HTTP/1.1 000 OK"), "status_line"},
    };
}

std::vector<answer_case> brokenFieldLines()
{
    return {
        {"BlankInTheName", withField("X Broken: 1"), "field_line"},
        {"BlankBeforeTheColon", withField("X-Broken : 1"), "field_line"},
        {"BlankAfterContentLength", withBody("Content-Length : 2\r\n", "okHTTP/1.1 200 OK\r\n\r\n"),
         "field_line"},
        {"BlankAfterTransferEncoding",
         withBody("Transfer-Encoding : chunked\r\n", "2\r\nok\r\n0\r\n\r\n"), "field_line"},
        {"TabInTheName", withField("X\tBroken: 1"), "field_line"},
        {"ControlByteInTheName",
         withField("X\x01"
                   "Broken: 1"),
         "field_line"},
        {"NulInTheName", withField(std::string("X\0Broken: 1", 11)), "field_line"},
        {"DeleteInTheName",
         withField("X\x7f"
                   "Broken: 1"),
         "field_line"},
        {"ByteAbove127InTheName",
         withField("X\xe9"
                   "Broken: 1"),
         "field_line"},
        {"SeparatorInTheName", withField("X(Broken): 1"), "field_line"},
        {"EmptyName", withField(": 1"), "field_line"},
        {"NoColon", withField("X-Broken"), "field_line"},
        {"FoldedLine", withField("X-Folded: 1\r\n 2"), "field_line"},
        {"BlankBeforeTheFirstField",
         "HTTP/1.1 200 OK\r\n X-Broken: 1\r\n" + answerIdentity + "Content-Length: 2\r\n\r\nok",
         "field_line"},
        {"ControlByteInTheValue", withField("X-Broken: a\x01z"), "field_line"},
        {"NulInTheValue", withField(std::string("X-Broken: a\0z", 13)), "field_line"},
        {"CarriageReturnInTheValue", withField("X-Broken: a\rz"), "field_line"},
        {"TwoCarriageReturns", withField("X-Broken: a\r"), "field_line"},
        {"HeadEndsWithoutLineFeed",
         "HTTP/1.1 200 OK\r\n" + answerIdentity + "Content-Length: 2\r\n\rxok", "field_line"},
        {"BrokenInterim",
         "HTTP/1.1 103 Early Hints\r\nX Broken: 1\r\n\r\n" + withField("X-Sound: 1"), "field_line"},
        {"BrokenTrailer", withBody(chunked, "2\r\nok\r\n0\r\nX Broken: 1\r\n\r\n"), "field_line"},
    };
}

std::vector<answer_case> brokenLengths()
{
    return {
        {"LengthWithSign", withBody("Content-Length: +2\r\n", "ok"), "length"},
        {"NegativeLength", withBody("Content-Length: -2\r\n", "ok"), "length"},
        {"LengthWithText", withBody("Content-Length: 2x\r\n", "ok"), "length"},
        {"HexadecimalLength", withBody("Content-Length: 0x2\r\n", "ok"), "length"},
        {"EmptyLength", withBody("Content-Length:\r\n", "ok"), "length"},
        {"LengthAboveAllNumbers", withBody("Content-Length: 18446744073709551618\r\n", "ok"),
         "length"},
        {"TwoLengths", withBody("Content-Length: 2\r\nContent-Length: 3\r\n", "ok"), "length"},
        {"ListOfLengths", withBody("Content-Length: 2, 3\r\n", "ok"), "length"},
        {"LengthAndChunks", withBody("Content-Length: 2\r\n" + chunked, "2\r\nok\r\n0\r\n\r\n"),
         "length"},
        {"UnknownCoding", withBody("Transfer-Encoding: gzip\r\n", "ok"), "transfer_coding"},
        {"CodingBeforeChunks",
         withBody("Transfer-Encoding: gzip, chunked\r\n", "2\r\nok\r\n0\r\n\r\n"),
         "transfer_coding"},
        {"CodingAfterChunks",
         withBody("Transfer-Encoding: chunked, gzip\r\n", "2\r\nok\r\n0\r\n\r\n"),
         "transfer_coding"},
        {"EmptyCoding", withBody("Transfer-Encoding:\r\n", "ok"), "transfer_coding"},
        {"ChunkedTwice", withBody(chunked + chunked, "2\r\nok\r\n0\r\n\r\n"), "transfer_coding"},
        {"ChunksOfVersion10",
         "HTTP/1.0 200 OK\r\n" + answerIdentity + chunked + "\r\n2\r\nok\r\n0\r\n\r\n",
         "transfer_coding"},
        {"ChunkWithoutSize", withBody(chunked, "\r\nok\r\n0\r\n\r\n"), "chunk"},
        {"ChunkSizeWithPrefix", withBody(chunked, "0x2\r\nok\r\n0\r\n\r\n"), "chunk"},
        {"ChunkSizeWithSign", withBody(chunked, "+2\r\nok\r\n0\r\n\r\n"), "chunk"},
        {"ChunkSizeAboveAllNumbers", withBody(chunked, "10000000000000002\r\nok\r\n0\r\n\r\n"),
         "chunk"},
        {"ChunkSizeWithoutReturn", withBody(chunked, "2\nok\r\n0\r\n\r\n"), "chunk"},
        {"ChunkSizeEndsInOtherByte", withBody(chunked, "2\rxok\r\n0\r\n\r\n"), "chunk"},
        {"ChunkLongerThanItsSize", withBody(chunked, "2\r\nokay\r\n0\r\n\r\n"), "chunk"},
        {"ChunkWithoutLineEnd", withBody(chunked, "2\r\nok0\r\n\r\n"), "chunk"},
        {"TrailerEndsWithoutLineFeed", withBody(chunked, "2\r\nok\r\n0\r\n\rx"), "chunk"},
        {"ControlByteInTheExtension", withBody(chunked, "2;a=\x01\r\nok\r\n0\r\n\r\n"), "chunk"},
    };
}

std::vector<answer_case> brokenAnswers()
{
    auto all = brokenStatusLines();
    for (const auto &more : {brokenFieldLines(), brokenLengths()})
        all.insert(all.end(), more.begin(), more.end());
    return all;
}

std::vector<answer_case> soundAnswers()
{
    return {
        {"Plain", withField("X-Sound: 1")},
        {"NoReason", withStatusLine("HTTP/1.1 200 ")},
        {"NoSpaceAfterTheStatus", withStatusLine("HTTP/1.1 200")},
        {"ReasonWithTabAndBytesAbove127", withStatusLine("HTTP/1.1 200 tr\xc3\xa8s\tbien")},
        {"Version10", withStatusLine("HTTP/1.0 200 OK")},
        {"LaterMinorVersion", withStatusLine("HTTP/1.2 200 OK")},
        {"LinesThatEndWithLineFeedOnly",
         "HTTP/1.1 200 OK\nX-Request-Id: r1\nX-Signature: s\nContent-Length: 2\n\nok"},
        {"AllTokenCharacters", withField("X!#$%&'*+-.^_`|~09azAZ: 1")},
        {"EmptyValue", withField("X-Empty:")},
        {"NoBlankAfterTheColon", withField("X-Sound:1")},
        {"BlanksAroundTheValue", withField("X-Sound: \t 1 \t ")},
        {"TabAndBytesAbove127InTheValue", withField("X-Sound: a\tb \xe9")},
        {"SameFieldTwice", withField("X-Sound: 1\r\nX-Sound: 2")},
        {"BlanksAroundTheLength", withBody("Content-Length: \t2 \r\n", "ok")},
        {"LengthWithZeros", withBody("Content-Length: 002\r\n", "ok")},
        {"Chunks", withBody(chunked, "1\r\no\r\n1\r\nk\r\n0\r\n\r\n")},
        {"ChunkedInCapitals", withBody("transfer-encoding: CHUNKED\r\n", "2\r\nok\r\n0\r\n\r\n")},
        {"ChunkSizeWithZeros", withBody(chunked, "0002\r\nok\r\n000\r\n\r\n")},
        {"ChunkExtensions",
         withBody(chunked, "2;name=value ; other=\"a b\"\r\nok\r\n0;last\r\n\r\n")},
        {"PaddedChunkSize", withBody(chunked, "2  \r\nok\r\n0\r\n\r\n")},
        {"Trailers", withBody(chunked, "2\r\nok\r\n0\r\nX-Sum: 1\r\nX-Empty:\r\n\r\n")},
        {"InterimHeads",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
             + withField("X-Sound: 1")},
        {"UpgradeOffered", withField("Upgrade: h2c\r\nConnection: upgrade")},
    };
}

bool isAcceptedByLibcurl(const answer_case &broken)
{
    const std::string_view name(broken.name);
    return name == "ChunkSizeWithoutReturn" || name == "ControlByteInTheExtension";
}

bool isRefusedByLibcurl(const answer_case &sound)
{
    return std::string_view(sound.name) == "LaterMinorVersion";
}

} // namespace quetzalcleat::test
