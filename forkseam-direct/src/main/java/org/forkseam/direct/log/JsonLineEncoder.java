package org.forkseam.direct.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;

import org.slf4j.event.KeyValuePair;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.classic.spi.StackTraceElementProxy;
import ch.qos.logback.core.encoder.EncoderBase;

/**
 * Encodes a log event as one line of JSON with time, level, event name and fields. Thread-safe.
 *
 * @since 0.2
 */
public final class JsonLineEncoder extends EncoderBase<ILoggingEvent> {
    private static final JsonFactory JSON = new JsonFactory();
    private static final byte[] EMPTY = new byte[0];
    private static final int INITIAL_BUFFER_BYTES = 512;

    /** Maximum number of frames of a stack trace; those of the event loop follow below. */
    private static final int MAX_FRAMES = 24;

    /** Creates an encoder. */
    public JsonLineEncoder() {}

    @Override
    public byte[] headerBytes() {
        return EMPTY;
    }

    @Override
    public byte[] footerBytes() {
        return EMPTY;
    }

    @Override
    public byte[] encode(ILoggingEvent e) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
        try (JsonGenerator g = JSON.createGenerator(out)) {
            g.writeStartObject();
            g.writeNumberField("time_ms", e.getTimeStamp());
            g.writeStringField("level", e.getLevel().toString());
            g.writeStringField("event", e.getFormattedMessage());
            writeValues(g, e.getKeyValuePairs());
            writeError(g, e.getThrowableProxy());
            g.writeEndObject();
        } catch (IOException x) {
            addError("failed to encode log event", x);
            return EMPTY;
        }
        out.write('\n');
        return out.toByteArray();
    }

    private static void writeValues(JsonGenerator g, List<KeyValuePair> values) throws IOException {
        if (values == null) {
            return;
        }
        for (KeyValuePair p : values) {
            g.writeFieldName(p.key);
            if (p.value instanceof Number || p.value instanceof Boolean) {
                g.writeRawValue(p.value.toString());
            } else {
                g.writeString(String.valueOf(p.value));
            }
        }
    }

    private static void writeError(JsonGenerator g, IThrowableProxy error) throws IOException {
        if (error != null) {
            g.writeStringField("error", error.getClassName() + ": " + error.getMessage());
            g.writeArrayFieldStart("stack");
            for (int i = 0; i < Math.min(MAX_FRAMES, frames(error).length); i++) {
                g.writeString(frames(error)[i].getStackTraceElement().toString());
            }
            g.writeEndArray();
        }
    }

    private static StackTraceElementProxy[] frames(IThrowableProxy error) {
        return error.getStackTraceElementProxyArray();
    }
}
