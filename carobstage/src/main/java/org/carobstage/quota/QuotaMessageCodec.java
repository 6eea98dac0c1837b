package org.carobstage.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.carobstage.model.AccountName;
import org.carobstage.peer.PeerMessage;
import org.carobstage.peer.PeerTransport;
import org.msgpack.value.ArrayValue;
import org.msgpack.value.Value;

/**
 * Encodes the messages between the owner of a shard and its clients. A request is the list (shard,
 * sequence, acknowledged, standalone, [account, count, ...]), a response (shard, sequence, owner,
 * [account, tokens, ms until the next, ...]).
 */
final class QuotaMessageCodec {
    private static final int REQUEST_ELEMENTS = 5;
    private static final int RESPONSE_ELEMENTS = 4;
    private static final int ELEMENTS_PER_COUNT = 2;
    private static final int ELEMENTS_PER_GRANT = 3;

    /** More than fit into a message with names of 10 characters. */
    private static final int MAX_ACCOUNTS = 8_192;

    private static final int MAX_NAME_LENGTH = 4_096;
    private static final int MAX_TOKENS = 1_000_000;
    private static final Duration MAX_UNTIL_NEXT = Duration.ofHours(1);

    private QuotaMessageCodec() {}

    /**
     * Encodes a request.
     *
     * @param request the request
     * @return the message, or empty if it would be too long
     */
    static Optional<byte[]> encode(QuotaRequest request) {
        List<Object> counts = new ArrayList<>();
        request.counts()
                .forEach(
                        (account, count) -> {
                            counts.add(account.value());
                            counts.add(Math.min(count, MAX_TOKENS));
                        });
        return encodeList(
                List.of(
                        request.shard().index(),
                        request.sequence(),
                        request.acknowledged(),
                        request.standalone(),
                        counts));
    }

    /**
     * Encodes a response.
     *
     * @param response the response
     * @return the message, or empty if it would be too long
     */
    static Optional<byte[]> encode(QuotaResponse response) {
        List<Object> grants = new ArrayList<>();
        response.grants()
                .forEach(
                        (account, grant) -> {
                            grants.add(account.value());
                            grants.add(Math.min(grant.tokens(), MAX_TOKENS));
                            grants.add(toMillis(grant.untilNext()));
                        });
        return encodeList(
                List.of(response.shard().index(), response.sequence(), response.owner(), grants));
    }

    /**
     * Decodes a request.
     *
     * @param message the message
     * @return the request
     * @throws IllegalArgumentException if it is malformed or a value is out of range
     */
    static QuotaRequest decodeRequest(byte[] message) {
        ArrayValue list = PeerMessage.decodeList(message, REQUEST_ELEMENTS, REQUEST_ELEMENTS);
        ArrayValue items = requireItems(list.get(4), ELEMENTS_PER_COUNT);
        Map<AccountName, Integer> counts = new LinkedHashMap<>();
        for (int i = 0; i < items.size(); i += ELEMENTS_PER_COUNT) {
            int count = (int) PeerMessage.requireNumber(items.get(i + 1), 0, MAX_TOKENS);
            putOnce(counts, account(items.get(i)), count);
        }
        return new QuotaRequest(
                shard(list.get(0)),
                sequence(list.get(1)),
                sequence(list.get(2)),
                PeerMessage.requireBoolean(list.get(3)),
                counts);
    }

    /**
     * Decodes a response.
     *
     * @param message the message
     * @return the response
     * @throws IllegalArgumentException if it is malformed or a value is out of range
     */
    static QuotaResponse decodeResponse(byte[] message) {
        ArrayValue list = PeerMessage.decodeList(message, RESPONSE_ELEMENTS, RESPONSE_ELEMENTS);
        ArrayValue items = requireItems(list.get(3), ELEMENTS_PER_GRANT);
        Map<AccountName, Grant> grants = new LinkedHashMap<>();
        for (int i = 0; i < items.size(); i += ELEMENTS_PER_GRANT) {
            int tokens = (int) PeerMessage.requireNumber(items.get(i + 1), 0, MAX_TOKENS);
            long millis = PeerMessage.requireNumber(items.get(i + 2), 0, MAX_UNTIL_NEXT.toMillis());
            putOnce(grants, account(items.get(i)), new Grant(tokens, Duration.ofMillis(millis)));
        }
        return new QuotaResponse(
                shard(list.get(0)),
                sequence(list.get(1)),
                PeerMessage.requireBoolean(list.get(2)),
                grants);
    }

    private static Optional<byte[]> encodeList(List<Object> list) {
        return Optional.of(PeerMessage.encode(list))
                .filter(message -> message.length <= PeerTransport.MAX_MESSAGE_BYTES);
    }

    private static long toMillis(Duration untilNext) {
        Duration bounded = untilNext.compareTo(MAX_UNTIL_NEXT) > 0 ? MAX_UNTIL_NEXT : untilNext;
        // Rounds up, since a client that comes back too early is rejected again.
        return bounded.plusNanos(999_999).toMillis();
    }

    private static ArrayValue requireItems(Value value, int elementsPerItem) {
        ArrayValue items = PeerMessage.requireList(value, 0, MAX_ACCOUNTS * elementsPerItem);
        if (items.size() % elementsPerItem != 0) {
            throw new IllegalArgumentException("incomplete item");
        }
        return items;
    }

    private static QuotaShard shard(Value value) {
        return new QuotaShard((int) PeerMessage.requireNumber(value, 0, QuotaShard.COUNT - 1));
    }

    private static long sequence(Value value) {
        return PeerMessage.requireNumber(value, 0, Long.MAX_VALUE);
    }

    private static AccountName account(Value value) {
        return AccountName.of(PeerMessage.requireText(value, MAX_NAME_LENGTH));
    }

    private static <T> void putOnce(Map<AccountName, T> map, AccountName account, T value) {
        if (map.put(account, value) != null) {
            throw new IllegalArgumentException("account is listed twice: " + account);
        }
    }
}
