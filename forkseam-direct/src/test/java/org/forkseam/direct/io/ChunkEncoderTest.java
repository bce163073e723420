package org.forkseam.direct.io;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/** Tests that Netty's decoder reads the encoded chunks. */
class ChunkEncoderTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** Decoding returns the encoded bytes, whatever the split into parts. */
    @Property(seed = "4731", tries = 300)
    void encodedChunksAreDecoded(
            @ForAll @Size(min = 1, max = 6) List<@Size(min = 1, max = 600) byte[]> parts)
            throws Exception {
        EmbeddedChannel channel = new EmbeddedChannel(new HttpClientCodec());
        channel.writeInbound(Unpooled.copiedBuffer(HEAD, StandardCharsets.US_ASCII));
        ByteArrayOutputStream sent = new ByteArrayOutputStream();
        for (byte[] p : parts) {
            sent.write(p);
            channel.writeInbound(ChunkEncoder.encode(channel.alloc(), Unpooled.copiedBuffer(p)));
        }
        channel.writeInbound(Unpooled.copiedBuffer("0\r\n\r\n", StandardCharsets.US_ASCII));
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        for (HttpObject o = channel.readInbound(); o != null; o = channel.readInbound()) {
            assertThat(o.decoderResult().isSuccess()).isTrue();
            if (o instanceof HttpContent c) {
                c.content().readBytes(read, c.content().readableBytes());
            }
        }
        assertThat(Arrays.equals(read.toByteArray(), sent.toByteArray())).isTrue();
        channel.finishAndReleaseAll();
    }

    /** The encoder takes ownership of the part. */
    @org.junit.jupiter.api.Test
    void partIsReleased() {
        ByteBuf part = Unpooled.copiedBuffer("x", StandardCharsets.US_ASCII);
        ChunkEncoder.encode(Buffers.allocator(), part).release();
        assertThat(part.refCnt()).isEqualTo(0);
    }
}
