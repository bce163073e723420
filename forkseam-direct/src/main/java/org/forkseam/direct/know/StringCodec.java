package org.forkseam.direct.know;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Encodes and decodes length-prefixed UTF-8 strings in datagrams. Stateless. */
final class StringCodec {
    private StringCodec() {}

    static void write(ByteBuf b, String text) {
        b.writeShort(ByteBufUtil.utf8Bytes(text));
        b.writeCharSequence(text, StandardCharsets.UTF_8);
    }

    static String read(ByteBuf b) {
        return b.readCharSequence(b.readUnsignedShort(), StandardCharsets.UTF_8).toString();
    }

    static void writeAll(ByteBuf b, List<String> texts) {
        b.writeShort(texts.size());
        texts.forEach(t -> write(b, t));
    }

    static List<String> readAll(ByteBuf b) {
        List<String> out = new ArrayList<>();
        for (int i = b.readUnsignedShort(); i > 0; i--) {
            out.add(read(b));
        }
        return out;
    }
}
