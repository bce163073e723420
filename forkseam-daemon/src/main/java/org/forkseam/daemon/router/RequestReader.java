package org.forkseam.daemon.router;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import io.activej.http.HttpHeader;
import io.activej.http.HttpRequest;

import org.forkseam.core.claim.ClaimRow;
import org.forkseam.core.label.LabelSyntaxException;
import org.forkseam.core.label.Labels;
import org.forkseam.core.outcome.RefusalReason;
import org.forkseam.core.util.Hashes;
import org.forkseam.daemon.sidecar.HttpTargetClient;
import org.forkseam.wire.proto.Header;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.regex.Pattern;

/** Parses and validates callers' HTTP requests. Stateless. */
final class RequestReader {
    static final String CHAT_PATH = "/v1/chat/completions";
    static final String SERVICES_PATH = "/services/";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Pattern ID = Pattern.compile("[A-Za-z0-9._:-]{1,128}");
    private static final String DEFAULT_TEAM = "default";
    private static final int BYTES_PER_TOKEN = 4;
    private static final int BAD_REQUEST = 400;
    private static final int MAX_PRIORITY = 9;
    private static final long MAX_DEADLINE_MILLIS = 86_400_000;

    private RequestReader() {}

    /** Parses a chat completion request. */
    static CallerRequest chat(HttpRequest http, byte[] body) throws BadRequestException {
        ObjectNode json = parse(body);
        JsonNode messages = json.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            throw badRequest(
                    "messages = " + truncate(messages), "an array of at least one message");
        }
        String model = json.path("model").asText();
        if (model.isEmpty()) {
            throw badRequest("model is missing", "the name of a model");
        }
        CommonHeaders c = new CommonHeaders(http);
        Labels labels = c.labels().with("kind", "chat").with("model", sanitizeLabel(model));
        boolean stream = json.path("stream").asBoolean();
        boolean strip = stream && requestUsage(json);
        if (c.priority().isPresent()) {
            // Engines treat lower values as higher priority.
            json.put("priority", MAX_PRIORITY - c.priority().getAsInt());
        }
        byte[] forwarded = write(json);
        CallerRequest.Prompt prompt = prompt(c.team(), c.chatId(), messages);
        return c.build(
                labels,
                prompt,
                new CallerRequest.Forward(
                        true,
                        stream,
                        strip,
                        "POST",
                        CHAT_PATH,
                        headers(http),
                        forwarded,
                        fingerprint(c.team(), CHAT_PATH, body)));
    }

    /** Parses a request to a service that is not an engine. */
    static CallerRequest service(HttpRequest http, byte[] body) throws BadRequestException {
        String path = http.getPathAndQuery().substring(SERVICES_PATH.length());
        int slash = path.indexOf('/');
        String service = slash < 0 ? path : path.substring(0, slash);
        String rest = slash < 0 ? "/" : path.substring(slash);
        if (!ID.matcher(service).matches()) {
            throw badRequest("service '" + truncate(service) + "'", SERVICES_PATH + "NAME/...");
        }
        CommonHeaders c = new CommonHeaders(http);
        Labels labels = c.labels().with("kind", "service").with("service", service);
        String method = http.getMethod().name();
        String key = c.chatId().isEmpty() ? c.id() : c.chatId();
        return c.build(
                labels,
                new CallerRequest.Prompt(Hashes.of(c.team() + "/" + key), 0, 0, 0, false),
                new CallerRequest.Forward(
                        false,
                        false,
                        false,
                        method,
                        rest,
                        headers(http),
                        body,
                        fingerprint(c.team(), method + " " + path, body)));
    }

    // ---------------------------------------------------------------- internals

    private static ObjectNode parse(byte[] body) throws BadRequestException {
        try {
            if (JSON.readTree(body) instanceof ObjectNode o) {
                return o;
            }
        } catch (IOException e) {
            throw new BadRequestException(
                    BAD_REQUEST, "body is not JSON; allowed: a JSON object with model, messages");
        }
        throw badRequest("body", "a JSON object with model and messages");
    }

    private static byte[] write(ObjectNode json) throws BadRequestException {
        try {
            return JSON.writeValueAsBytes(json);
        } catch (IOException e) {
            throw new BadRequestException(BAD_REQUEST, "body cannot be passed on");
        }
    }

    /** Requests token usage from the engine; returns false if the caller already did. */
    private static boolean requestUsage(ObjectNode json) {
        if (json.path("stream_options").path("include_usage").asBoolean()) {
            return false;
        }
        json.withObject("/stream_options").put("include_usage", true);
        return true;
    }

    private static CallerRequest.Prompt prompt(String team, String chatId, JsonNode messages) {
        int bytes = 0;
        boolean returning = false;
        for (JsonNode m : messages) {
            bytes += m.path("content").asText().length();
            returning |= "assistant".equals(m.path("role").asText());
        }
        JsonNode first = messages.get(0);
        boolean shared = "system".equals(first.path("role").asText());
        String firstText = first.path("content").asText();
        String chat = chatId;
        if (chat.isEmpty()) {
            // Without an id, the messages that stay the same in all turns identify the chat.
            JsonNode second = messages.path(shared ? 1 : 0);
            chat = firstText + "\n" + second.path("content").asText();
        }
        return new CallerRequest.Prompt(
                Hashes.of(team + "/" + chat),
                bytes / BYTES_PER_TOKEN,
                shared ? Hashes.of(firstText) : 0,
                shared ? firstText.length() / BYTES_PER_TOKEN : 0,
                returning);
    }

    private static String fingerprint(String team, String path, byte[] body) {
        return Long.toHexString(Hashes.mix(Hashes.of(team + "\n" + path), Hashes.of(body)));
    }

    private static List<Header> headers(HttpRequest http) {
        List<Header> out = new ArrayList<>();
        http.getHeaders()
                .forEach(
                        e -> {
                            String name = e.getKey().toString();
                            boolean internal =
                                    name.toLowerCase(Locale.ROOT).startsWith(CallerHeaders.PREFIX);
                            if (!internal && !HttpTargetClient.isHopByHopHeader(name)) {
                                out.add(
                                        Header.newBuilder()
                                                .setName(name)
                                                .setValue(e.getValue().toString())
                                                .build());
                            }
                        });
        return out;
    }

    private static String sanitizeLabel(String label) {
        return label.replaceAll("[^A-Za-z0-9._:/-]", "_");
    }

    private static String truncate(Object value) {
        String s = String.valueOf(value);
        return s.length() > 40 ? s.substring(0, 40) + "..." : s;
    }

    private static BadRequestException badRequest(String found, String allowed) {
        return new BadRequestException(BAD_REQUEST, found + "; allowed: " + allowed);
    }

    /** Headers common to all requests. */
    private static final class CommonHeaders {
        private final HttpRequest mHttp;
        private final String mId;
        private final boolean mIdGiven;
        private final String mTeam;
        private final OptionalInt mPriority;
        private final OptionalLong mDeadline;
        private final boolean mUnrepeatable;

        CommonHeaders(HttpRequest http) throws BadRequestException {
            mHttp = http;
            String id = header(CallerHeaders.REQUEST_ID);
            mIdGiven = !id.isEmpty();
            mId = mIdGiven ? requireId(CallerHeaders.REQUEST_ID, id) : UUID.randomUUID().toString();
            String team = header(CallerHeaders.TEAM);
            mTeam = team.isEmpty() ? DEFAULT_TEAM : requireId(CallerHeaders.TEAM, team);
            OptionalLong p = number(CallerHeaders.PRIORITY, MAX_PRIORITY);
            mPriority = p.isPresent() ? OptionalInt.of((int) p.getAsLong()) : OptionalInt.empty();
            mDeadline = number(CallerHeaders.DEADLINE_MS, MAX_DEADLINE_MILLIS);
            mUnrepeatable = readUnrepeatable();
            checkAge();
            if (mUnrepeatable && !mIdGiven) {
                throw badRequest(
                        "Forkseam-Request-Id is missing", "an unrepeatable request needs one");
            }
        }

        /**
         * Rejects old unrepeatable requests: their claim may be deleted, so they could run twice.
         */
        private void checkAge() throws BadRequestException {
            String v = header(CallerHeaders.ISSUED_AT);
            if (!v.matches("[0-9]{0,15}")) {
                throw badRequest(
                        "Forkseam-Issued-At-Ms = " + truncate(v), "milliseconds since 1970");
            }
            long age = v.isEmpty() ? 0 : System.currentTimeMillis() - Long.parseLong(v);
            if (mUnrepeatable && age > ClaimRow.RETENTION_MILLIS) {
                throw new BadRequestException(
                        RefusalReason.TOO_OLD.status(), RefusalReason.TOO_OLD.text());
            }
        }

        String id() {
            return mId;
        }

        String team() {
            return mTeam;
        }

        OptionalInt priority() {
            return mPriority;
        }

        String chatId() {
            return header(CallerHeaders.CHAT_ID);
        }

        Labels labels() throws BadRequestException {
            try {
                return Labels.parse(header(CallerHeaders.LABELS)).with("team", mTeam);
            } catch (LabelSyntaxException e) {
                throw new BadRequestException(BAD_REQUEST, "Forkseam-Labels: " + e.getMessage());
            }
        }

        CallerRequest build(
                Labels labels, CallerRequest.Prompt prompt, CallerRequest.Forward forward) {
            return new CallerRequest(
                    mId,
                    mIdGiven,
                    mTeam,
                    labels,
                    mDeadline,
                    mPriority,
                    mUnrepeatable,
                    header(CallerHeaders.TICKET),
                    prompt,
                    forward);
        }

        private String header(HttpHeader name) {
            String v = mHttp.getHeader(name);
            return v == null ? "" : v.trim();
        }

        private static String requireId(HttpHeader name, String value) throws BadRequestException {
            if (!ID.matcher(value).matches()) {
                throw badRequest(name + " = " + truncate(value), "1 to 128 of A-Z a-z 0-9 . _ : -");
            }
            return value;
        }

        private OptionalLong number(HttpHeader name, long max) throws BadRequestException {
            String v = header(name);
            if (v.isEmpty()) {
                return OptionalLong.empty();
            }
            if (!v.matches("[0-9]{1,9}") || Long.parseLong(v) > max) {
                throw badRequest(name + " = " + truncate(v), "a whole number from 0 to " + max);
            }
            return OptionalLong.of(Long.parseLong(v));
        }

        private boolean readUnrepeatable() throws BadRequestException {
            String v = header(CallerHeaders.UNREPEATABLE);
            if (v.isEmpty() || v.equals("false")) {
                return false;
            }
            if (!v.equals("true")) {
                throw badRequest("Forkseam-Unrepeatable = " + truncate(v), "true or false");
            }
            return true;
        }
    }
}
