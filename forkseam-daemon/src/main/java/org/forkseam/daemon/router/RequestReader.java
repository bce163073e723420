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

/** Reads callers' HTTP requests. Stateless. */
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

    /** Reads a chat-completions request. */
    static CallerRequest chat(HttpRequest http, byte[] body) throws BadRequestException {
        ObjectNode json = parse(body);
        JsonNode messages = json.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            throw bad("messages = " + shorten(messages), "an array of at least one message");
        }
        String model = json.path("model").asText();
        if (model.isEmpty()) {
            throw bad("model is missing", "the name of a model");
        }
        Common c = new Common(http);
        Labels labels = c.labels().with("kind", "chat").with("model", safe(model));
        boolean stream = json.path("stream").asBoolean();
        boolean strip = stream && askForUsage(json);
        if (c.priority().isPresent()) {
            // Engines serve smaller numbers first.
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

    /** Reads a call to a plain service. */
    static CallerRequest service(HttpRequest http, byte[] body) throws BadRequestException {
        String path = http.getPathAndQuery().substring(SERVICES_PATH.length());
        int slash = path.indexOf('/');
        String service = slash < 0 ? path : path.substring(0, slash);
        String rest = slash < 0 ? "/" : path.substring(slash);
        if (!ID.matcher(service).matches()) {
            throw bad("service '" + shorten(service) + "'", SERVICES_PATH + "NAME/...");
        }
        Common c = new Common(http);
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
        throw bad("body", "a JSON object with model and messages");
    }

    private static byte[] write(ObjectNode json) throws BadRequestException {
        try {
            return JSON.writeValueAsBytes(json);
        } catch (IOException e) {
            throw new BadRequestException(BAD_REQUEST, "body cannot be passed on");
        }
    }

    /** Makes the engine report what it reused; returns whether the caller did not ask for that. */
    private static boolean askForUsage(ObjectNode json) {
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
            // Without an id, what stays the same over all turns tells chats apart.
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
                            boolean own =
                                    name.toLowerCase(Locale.ROOT).startsWith(CallerHeaders.PREFIX);
                            if (!own && !HttpTargetClient.isHopByHopHeader(name)) {
                                out.add(
                                        Header.newBuilder()
                                                .setName(name)
                                                .setValue(e.getValue().toString())
                                                .build());
                            }
                        });
        return out;
    }

    private static String safe(String label) {
        return label.replaceAll("[^A-Za-z0-9._:/-]", "_");
    }

    private static String shorten(Object value) {
        String s = String.valueOf(value);
        return s.length() > 40 ? s.substring(0, 40) + "..." : s;
    }

    private static BadRequestException bad(String found, String allowed) {
        return new BadRequestException(BAD_REQUEST, found + "; allowed: " + allowed);
    }

    /** Reads the headers that all requests have in common. */
    private static final class Common {
        private final HttpRequest mHttp;
        private final String mId;
        private final boolean mIdGiven;
        private final String mTeam;
        private final OptionalInt mPriority;
        private final OptionalLong mDeadline;
        private final boolean mUnrepeatable;

        Common(HttpRequest http) throws BadRequestException {
            mHttp = http;
            String id = header(CallerHeaders.REQUEST_ID);
            mIdGiven = !id.isEmpty();
            mId = mIdGiven ? checked(CallerHeaders.REQUEST_ID, id) : UUID.randomUUID().toString();
            String team = header(CallerHeaders.TEAM);
            mTeam = team.isEmpty() ? DEFAULT_TEAM : checked(CallerHeaders.TEAM, team);
            OptionalLong p = number(CallerHeaders.PRIORITY, MAX_PRIORITY);
            mPriority = p.isPresent() ? OptionalInt.of((int) p.getAsLong()) : OptionalInt.empty();
            mDeadline = number(CallerHeaders.DEADLINE_MS, MAX_DEADLINE_MILLIS);
            mUnrepeatable = flag();
            checkAge();
            if (mUnrepeatable && !mIdGiven) {
                throw bad("Forkseam-Request-Id is missing", "an unrepeatable request needs one");
            }
        }

        /** A claim is swept some time after this, so an older repeat could run again. */
        private void checkAge() throws BadRequestException {
            String v = header(CallerHeaders.ISSUED_AT);
            if (!v.matches("[0-9]{0,15}")) {
                throw bad("Forkseam-Issued-At-Ms = " + shorten(v), "milliseconds since 1970");
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

        private static String checked(HttpHeader name, String value) throws BadRequestException {
            if (!ID.matcher(value).matches()) {
                throw bad(name + " = " + shorten(value), "1 to 128 of A-Z a-z 0-9 . _ : -");
            }
            return value;
        }

        private OptionalLong number(HttpHeader name, long max) throws BadRequestException {
            String v = header(name);
            if (v.isEmpty()) {
                return OptionalLong.empty();
            }
            if (!v.matches("[0-9]{1,9}") || Long.parseLong(v) > max) {
                throw bad(name + " = " + shorten(v), "a whole number from 0 to " + max);
            }
            return OptionalLong.of(Long.parseLong(v));
        }

        private boolean flag() throws BadRequestException {
            String v = header(CallerHeaders.UNREPEATABLE);
            if (v.isEmpty() || v.equals("false")) {
                return false;
            }
            if (!v.equals("true")) {
                throw bad("Forkseam-Unrepeatable = " + shorten(v), "true or false");
            }
            return true;
        }
    }
}
