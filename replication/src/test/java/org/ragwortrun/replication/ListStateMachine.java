package org.ragwortrun.replication;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** State machine that keeps every command in order and replies with their number. */
public final class ListStateMachine implements StateMachine {
    private final List<String> commands = new ArrayList<>();
    volatile Runnable onApply = () -> {};

    @Override
    public synchronized byte[] apply(long index, byte[] command) {
        onApply.run();
        commands.add(new String(command, StandardCharsets.UTF_8));
        return Integer.toString(commands.size()).getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public synchronized void writeSnapshot(OutputStream out) throws IOException {
        DataOutputStream data = new DataOutputStream(out);
        data.writeInt(commands.size());
        for (String c : commands) {
            data.writeUTF(c);
        }
        data.flush();
    }

    @Override
    public synchronized void readSnapshot(InputStream in) throws IOException {
        DataInputStream data = new DataInputStream(in);
        commands.clear();
        int n = data.readInt();
        for (int i = 0; i < n; i++) {
            commands.add(data.readUTF());
        }
    }

    public synchronized List<String> commands() {
        return List.copyOf(commands);
    }
}
