package org.carobstage.node;

import java.util.List;
import org.carobstage.group.Group;
import org.carobstage.group.GroupView;
import org.carobstage.group.GroupView.Observation;
import org.carobstage.model.InstanceId;
import org.carobstage.model.InstanceSpec;
import org.carobstage.operator.StatusMessage;
import org.carobstage.operator.StatusMessage.GroupStatus;
import org.carobstage.operator.StatusMessage.InstanceStatus;
import org.carobstage.settings.Settings;

/** Puts the status of a process together. */
final class NodeStatus {
    private static final int UNKNOWN = -1;

    private NodeStatus() {}

    static StatusMessage of(Settings settings, Proxy proxy, boolean ready) {
        return new StatusMessage(
                settings.vm().id().value(),
                settings.vm().domain().value(),
                Version.text(),
                ready,
                proxy.groups().stream().map(NodeStatus::group).toList(),
                List.of());
    }

    private static GroupStatus group(Group group) {
        GroupView view = group.view();
        return new GroupStatus(
                view.spec().id().value(),
                view.term().number(),
                view.primary().map(s -> s.instance().value()).orElse(""),
                view.spec().instances().stream().map(i -> instance(group, i)).toList());
    }

    private static InstanceStatus instance(Group group, InstanceSpec spec) {
        InstanceId id = spec.id();
        Observation seen = group.view().observed().get(id);
        return new InstanceStatus(
                id.value(),
                seen == null ? UNKNOWN : seen.standing().promised().number(),
                seen == null ? UNKNOWN : seen.standing().last().offset(),
                seen == null ? UNKNOWN : seen.standing().lagMillis(),
                group.pool(id).share().slots(),
                group.pool(id).share().connections(),
                group.pool(id).load());
    }
}
